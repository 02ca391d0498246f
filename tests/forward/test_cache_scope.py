"""Which workspaces use cached prompt parts of each other as configurations change."""

from hypothesis import given, strategies as st

from mulberryhub.fleet.records import Workspace
from mulberryhub.forward.cache_directives import cache_salt
from mulberryhub.forward.cache_scope import shared_scope
from mulberryhub.forward.routes import ConfigurationView
from tests.forward.fakes import make_configuration

MODEL = "m1"
NAMES = ("a", "b", "c")
STATES = ("absent", "sharing", "isolated")
# What the configuration says of each of NAMES.
CONFIGURATIONS = st.tuples(*[st.sampled_from(STATES) for _ in NAMES])


def make_view(states):
    workspaces = [
        Workspace(name, [name], is_isolated=state == "isolated")
        for name, state in zip(NAMES, states)
        if state != "absent"
    ]
    return ConfigurationView(make_configuration(workspaces=workspaces))


def salt(view, workspace):
    return cache_salt(MODEL, 1, view.cache_scope(workspace))


# What a workspace cached before it was made isolated must not be used by another one.
@given(st.lists(CONFIGURATIONS, min_size=1, max_size=8), st.data())
def test_isolated_workspace_shares_no_part_over_all_changes(configurations, data):
    makers_by_salt = {}
    admitted = []  # as each configuration so far had them
    for states in configurations:
        view = make_view(states)
        admitted += view.workspaces_by_name.values()
        isolated = {name for name, state in zip(NAMES, states) if state == "isolated"}
        # A request may be sent under a later configuration than it was admitted under.
        senders = list(view.workspaces_by_name.values())
        if admitted:
            senders.append(data.draw(st.sampled_from(admitted)))
        for workspace in senders:
            makers = makers_by_salt.setdefault(salt(view, workspace), set())
            foreign = makers - {workspace.name}
            assert not foreign & isolated
            assert not foreign or workspace.name not in isolated
            makers.add(workspace.name)


@given(CONFIGURATIONS, CONFIGURATIONS)
def test_cache_is_kept_unless_the_isolated_workspaces_change(before, after):
    views = [make_view(before), make_view(after)]
    isolated = [
        {name for name, item in view.workspaces_by_name.items() if item.is_isolated}
        for view in views
    ]
    salts = [salt(view, None) for view in views]
    assert (salts[0] == salts[1]) == (isolated[0] == isolated[1])


def test_names_of_isolated_workspaces_are_not_run_together():
    assert shared_scope({"a", "bc"}) != shared_scope({"ab", "c"})
    assert shared_scope({"a", "b"}) == shared_scope({"b", "a"})


def test_workspaces_share_parts_without_any_isolated_one():
    view = make_view(("sharing", "sharing", "absent"))
    workspaces = [*view.workspaces_by_name.values(), None]
    assert {salt(view, workspace) for workspace in workspaces} == {"m1:1"}


def test_workspace_that_is_gone_shares_no_parts():
    workspace = Workspace("a", ["a"])
    for states in (("absent", "sharing", "absent"), ("absent", "isolated", "sharing")):
        view = make_view(states)
        assert salt(view, workspace) != salt(view, None)
