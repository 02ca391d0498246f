import msgspec
from hypothesis import given, settings, strategies as st

from mulberryhub.config.difference import apply_difference, diff_inventories
from mulberryhub.config.inventory import Inventory, Key, Model, Rules, Workspace

IDS = st.sampled_from("abcdef")


def unique_lists(items, field):
    return st.lists(items, unique_by=lambda item: getattr(item, field), max_size=5)


INVENTORIES = st.builds(
    Inventory,
    models=unique_lists(st.builds(Model, IDS, IDS), "id"),
    workspaces=unique_lists(
        st.builds(Workspace, IDS, st.floats(0, 9), st.just(1.0)), "id"
    ),
    keys=unique_lists(st.builds(Key, IDS, IDS), "hash"),
    rules=st.builds(Rules, st.floats(0, 9)),
)


def without_order(inventory):
    values = msgspec.to_builtins(inventory)
    rules = values.pop("rules")
    return rules, {name: sorted(items, key=str) for name, items in values.items()}


@settings(derandomize=True, deadline=None)
@given(INVENTORIES, INVENTORIES)
def test_applying_a_difference_gives_the_new_inventory(old, new):
    diff = diff_inventories(old, new)
    assert without_order(apply_difference(old, diff)) == without_order(new)
    assert without_order(apply_difference(new, diff)) == without_order(new)
