import msgspec

from mulberryhub.fleet.configuration_difference import (
    Change,
    FieldChange,
    KeyChange,
    diff_configurations,
)
from mulberryhub.fleet.records import ClientLimits, Configuration, Service, Workspace

OLD = Configuration(
    1,
    [],
    [Service("a"), Service("b", slots=1)],
    [Workspace("s", ["secret"]), Workspace("t", ["secret-1", "secret-2"])],
    lists_workspaces=True,
)
NEW = Configuration(
    2,
    [],
    [Service("b", slots=2), Service("c")],
    [Workspace("t", ["secret-2", "secret-3", "secret-4"], rate=5)],
    ClientLimits(idle_time=1),
    lists_workspaces=True,
)


def test_changes_are_listed_and_keys_counted():
    """Guards against changes that are left out and against printed keys."""
    difference = diff_configurations(OLD, NEW)
    assert difference.changes == [
        Change("changed", "services", "b", {"slots": FieldChange(1, 2)}),
        Change("added", "services", "c"),
        Change("removed", "services", "a"),
        Change("changed", "workspaces", "t", {"rate": FieldChange(0, 5)}),
        Change("removed", "workspaces", "s"),
        Change("changed", "limits", "", {"idle_time": FieldChange(15_000, 1)}),
    ]
    assert difference.keys == [KeyChange("s", 0, 1), KeyChange("t", 2, 1)]
    assert difference.requires_keys is None
    assert b"secret" not in msgspec.json.encode(difference)


def test_absent_list_of_workspaces():
    """Guards against a change that unnoticed lets requests in without a key."""
    open_configuration = msgspec.structs.replace(OLD, lists_workspaces=False)
    assert diff_configurations(OLD, open_configuration).requires_keys is False
    assert diff_configurations(open_configuration, OLD).requires_keys is True


def test_same_configuration_has_no_difference():
    """Guards against changes that are reported where nothing differs."""
    difference = diff_configurations(OLD, msgspec.structs.replace(OLD, version=2))
    assert (difference.changes, difference.keys) == ([], [])
