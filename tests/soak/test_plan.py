from soak.options import Options
from soak.plan import QUIET_END_S, make_plan


def test_plan_is_determined_by_seed():
    assert [str(step) for step in make_plan(7, 60)] == [
        str(step) for step in make_plan(7, 60)
    ]
    assert str(make_plan(7, 60)[0]) != str(make_plan(8, 60)[0])


def test_no_step_starts_in_quiet_end_and_some_steps_overlap():
    steps = make_plan(3, 60)
    assert all(step.start < 60 - QUIET_END_S for step in steps)
    pairs = zip(steps, steps[1:])
    assert any(first.start + first.duration > second.start for first, second in pairs)


def test_all_findings_of_options_are_reported():
    options = Options(1, seconds=1, routers=0, clients=0)
    assert len(options.findings()) == 3
    assert not Options(1).findings()
