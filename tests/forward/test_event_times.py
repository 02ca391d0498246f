from mulberryhub.forward.event_times import EventTimes


def record(times, *events):
    for id, at in events:
        times.record(id, at)
    return times.pause_per_token()


def test_pauses_are_counted_per_token():
    """Guards against events of several tokens that count as long pauses."""
    assert record(EventTimes(), (0, 1_000), (4, 1_080), (20, 1_400)) == 20


def test_short_answers_tell_no_pause():
    """Guards against speeds learned from times of a few ms."""
    assert EventTimes().pause_per_token() is None
    assert record(EventTimes(), (0, 1_000)) is None
    assert record(EventTimes(), (0, 1_000), (4, 1_300)) is None
    assert record(EventTimes(), (0, 1_000), (40, 1_010)) is None


def test_slow_clients_do_not_count_as_slow_upstreams():
    """Guards against upstreams that are avoided as their clients read slowly."""
    times = EventTimes()
    times.record_blocked(100)
    assert record(times, (0, 1_000), (20, 1_400)) is None
