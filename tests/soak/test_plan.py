from soak.options import Options
from soak.plan import QUIET_END, make_plan


def test_a_seed_gives_the_same_steps_each_time():
    assert [str(step) for step in make_plan(7, 60)] == [
        str(step) for step in make_plan(7, 60)
    ]
    assert str(make_plan(7, 60)[0]) != str(make_plan(8, 60)[0])


def test_no_step_begins_in_the_last_seconds_and_some_overlap():
    steps = make_plan(3, 60)
    assert all(step.at < 60 - QUIET_END for step in steps)
    pairs = zip(steps, steps[1:])
    assert any(first.at + first.duration > second.at for first, second in pairs)


def test_findings_of_options_are_gathered():
    options = Options(1, seconds=1, routers=0, clients=0)
    assert len(options.findings()) == 3
    assert not Options(1).findings()
