from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.usage import UsageTable


def make_table(clock):
    return UsageTable(lambda: Usage(routers=1), "a", 8_000, clock)


def test_heard_data_centres_are_those_with_recent_usage():
    """Guards against requests sent to a data centre that only seems to be idle."""
    clock = ManualClock(now=10_000)
    leader, follower = make_table(clock), make_table(clock)
    leader.record_remote("b", Usage(routers=3), {})
    clock.advance(800)
    leader.record_remote("c", Usage(routers=2), {})
    follower.record_local(leader.sum_local(), None)
    follower.record_remote_total(leader.remote(), {})
    for table in (leader, follower):
        assert table.heard_data_centres(2_000) == {"b", "c"}
    clock.advance(900)
    assert leader.heard_data_centres(2_000) == {"c"}
    clock.advance(200)
    assert leader.heard_data_centres(2_000) == set()
    assert follower.heard_data_centres(2_000) == set()


def test_usage_of_an_earlier_build_names_no_data_centres():
    """Guards against a sum without data centres that counts as one of all of them."""
    table = make_table(ManualClock(now=10_000))
    table.record_local(Usage(routers=2), None)
    table.record_remote_total(Usage(routers=5), {})
    assert table.heard_data_centres(2_000) == set()
