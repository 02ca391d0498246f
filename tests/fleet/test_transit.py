from mulberryhub.fleet.transit import TransitBound

OFFSET_MS = 49_000  # of the receiver's clock from the sender's


def test_wait_is_unknown_before_a_message_that_answers():
    assert TransitBound().longest_wait(1_000, 50_000) is None


def test_wait_of_a_message_without_a_time_is_unknown():
    bound = TransitBound()
    bound.learn(1_000, 1_000 + OFFSET_MS)
    assert bound.longest_wait(None, 51_000) is None


def test_bound_is_never_below_the_time_for_which_a_message_waited():
    bound = TransitBound()
    sent_at = 1_000
    answered_at = sent_at + OFFSET_MS - 40  # 40 ms before the answer was sent
    bound.learn(sent_at, answered_at)
    for waited in (0, 10, 5_000):
        wait = bound.longest_wait(2_000, 2_000 + OFFSET_MS + waited)
        assert wait == waited + 40


def test_bound_gets_closer_with_each_faster_answer():
    bound = TransitBound()
    for delay in (900, 40, 300):
        bound.learn(1_000, 1_000 + OFFSET_MS - delay)
    assert bound.longest_wait(2_000, 2_000 + OFFSET_MS) == 40
