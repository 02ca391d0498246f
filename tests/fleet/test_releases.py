import pytest

from mulberryhub.base.clock import ManualClock
from mulberryhub.fleet.channel import Report, decode, encode
from mulberryhub.fleet.records import Usage
from mulberryhub.fleet.release_records import ReleaseOrder, ReleaseState, ReleaseStatus
from mulberryhub.fleet.releases import Releases
from mulberryhub.fleet.store import position_of
from mulberryhub.fleet.usage import MAX_COUNTS_AGE_MS, UsageTable

ORDER = ReleaseOrder("s", "v2", 12_000, position_of(1, 7))


@pytest.fixture
def releases():
    releases = Releases(ManualClock())
    releases.apply_order(ORDER)
    return releases


def listed_again(**values):
    fields = {"target": "v2", "duration": 12_000, "offset": position_of(2, 7), **values}
    return ReleaseOrder("s", **fields)


def test_order_in_a_later_era_is_not_new(releases):
    """A release that ended starts again once the store came back from a copy."""
    assert not releases.apply_order(listed_again())
    assert releases.missing_orders(set(), position_of(2, 9)) == [listed_again()]
    assert releases.apply_order(listed_again(offset=position_of(2, 8)))
    assert not releases.apply_order(ORDER)


@pytest.mark.parametrize("era, is_withdrawn", [(1, True), (2, False)])
def test_order_missing_from_a_listing_is_withdrawn(releases, era, is_withdrawn):
    """A withdrawal that was not read is missed, or one is taken from an older copy."""
    end = position_of(era, 20)
    assert releases.missing_orders({"other"}, end) == ([ORDER] if is_withdrawn else [])
    assert releases.missing_orders({"s"}, end) == []


def test_rule_of_a_changed_order_excludes_the_target_before(releases):
    """Between a changed order and its first state, both targets receive requests."""
    state = ReleaseState("s", "v2", ORDER.offset, ReleaseStatus.RUNNING, 0.5, 1, 1)
    releases.apply_state(state)
    assert releases.version_rule("s").share == 0.5
    releases.apply_order(listed_again(target="v3", offset=position_of(1, 8)))
    rule = releases.version_rule("s")
    assert (rule.target, rule.share, rule.excluded) == ("v3", 0, {"v2"})
    releases.apply_order(listed_again(target="", offset=position_of(1, 9)))
    assert releases.version_rule("s").excluded == {"v2"}


def test_report_without_a_release_has_no_bytes_for_it():
    """Each report of a fleet without releases is longer than before."""
    assert b"release" not in encode(Report(1, Usage(release_counts={})))
    usage = Usage(release_counts={"k": 1})
    assert decode(encode(Report(1, usage))[4:]).use.release_counts == {"k": 1}


def test_release_counts_hold_between_the_messages_that_have_them():
    """Sums over routers fall and rise again with each message, as if routers ended."""
    clock = ManualClock()
    own = Usage(release_counts={"k": 2})
    table = UsageTable(lambda: own, "a", 8_000, clock)
    table.record_report("r2", Usage(release_counts={"k": 5}), {})
    table.record_report("r2", Usage(), {})
    assert table.others().release_counts == {"k": 5}
    table.record_local(Usage(release_counts={"k": 9}, routers=2), own)
    table.record_local(Usage(routers=2), Usage(release_counts={"k": 4}))
    assert table.others().release_counts == {"k": 7}
    clock.advance(MAX_COUNTS_AGE_MS + 1)
    table.record_local(Usage(routers=2), Usage())
    assert table.others().release_counts == {}
