"""Which versions a router tells the others that upstreams loaded."""

from mulberryhub.weights.loaded import LoadedVersions
from tests.fleet.test_running_versions import make_incarnation


def test_versions_are_told_with_the_incarnation_that_loaded_them():
    loaded = LoadedVersions()
    loaded.record(make_incarnation(5), "m1", 2)
    loaded.record(make_incarnation(5), "m2", 3)
    assert loaded.versions_by_id() == {"u1": {"m1": 2, "m2": 3}}
    assert loaded.started_by_id() == {"u1": 5}


def test_later_incarnation_has_none_of_the_earlier_ones():
    loaded = LoadedVersions()
    loaded.record(make_incarnation(5), "m1", 2)
    loaded.record(make_incarnation(6), "m2", 3)
    assert loaded.versions_by_id() == {"u1": {"m2": 3}}
    assert loaded.started_by_id() == {"u1": 6}


def test_upstreams_that_left_are_not_told():
    loaded = LoadedVersions()
    loaded.record(make_incarnation(5), "m1", 2)
    loaded.retain({"u2"})
    assert loaded.versions_by_id() == loaded.started_by_id() == {}
