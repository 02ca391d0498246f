from mulberryhub.gateway.failover import StreamBreaks

ENGINES = ["a", "b", "c"]


def test_engine_without_progress_is_resumed_once_more():
    breaks = StreamBreaks()
    assert [breaks.should_resume(3) for _ in range(3)] == [True, True, False]
    assert breaks.should_resume(4)


def test_each_engine_gets_two_tries_without_a_new_token():
    breaks = StreamBreaks()
    assert breaks.other_engines(ENGINES, "a", 0) == ["b", "c", "a"]
    assert breaks.other_engines(ENGINES, "b", 0) == ["c", "b"]
    assert breaks.other_engines(ENGINES, "c", 0) == ["c"]
    assert breaks.other_engines(ENGINES, "c", 0) == []


def test_engines_may_be_tried_again_after_a_new_token():
    breaks = StreamBreaks()
    breaks.other_engines(ENGINES, "a", 0)
    assert breaks.other_engines(ENGINES, "b", 1) == ["a", "c", "b"]
