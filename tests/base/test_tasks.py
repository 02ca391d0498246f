from mulberryhub.base import tasks
from mulberryhub.base.green import sleep
from mulberryhub.base.tasks import spawn_service, spawn_task, task_failures


def run_service(monkeypatch, outcomes):
    """Run a service that raises or returns as `outcomes` say; return what is left."""
    monkeypatch.setattr(tasks, "RESTART_DELAY_MS", 1)

    def run():
        if outcomes.pop(0) == "fail":
            raise ValueError("unexpected")

    spawn_service(run)
    sleep(0.05)
    return outcomes


def test_service_that_fails_is_started_again_and_counted(monkeypatch):
    before = task_failures.count
    assert run_service(monkeypatch, ["fail", "fail", "end", "unused"]) == ["unused"]
    assert task_failures.count == before + 2


def test_service_that_returns_is_not_started_again(monkeypatch):
    assert run_service(monkeypatch, ["end", "unused"]) == ["unused"]


def test_task_that_fails_is_counted_and_not_started_again():
    before = task_failures.count
    calls = []

    def run():
        calls.append(1)
        raise ValueError("unexpected")

    spawn_task(run)
    sleep(0.02)
    assert calls == [1]
    assert task_failures.count == before + 1
