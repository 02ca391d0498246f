"""Tasks that run for as long as the process are started again after an exception."""

import pytest

from mulberryhub.base import tasks
from mulberryhub.base.green import sleep
from mulberryhub.fleet import publisher
from mulberryhub.fleet.cache_watcher import CacheWatcher
from mulberryhub.fleet.follower import TopicFollower
from mulberryhub.fleet.publisher import Publisher
from mulberryhub.fleet.removals import DelayedRemovals
from mulberryhub.fleet.sources import SourceSelector
from mulberryhub.http import server
from mulberryhub.http.server import HttpServer
from mulberryhub.node.router import Router
from mulberryhub.permits.share import CoordinatorShare
from mulberryhub.weights.manager import RolloutManager


class FakePart:
    """A part of a router whose start does nothing."""

    def start(self):
        pass


class FakeParts:
    """The parts of a router whose own tasks are under test."""

    def __getattr__(self, name):
        return [] if name == "followers" else FakePart()


class FakeSettings:
    name = "r0"


def without_init(cls):
    return cls.__new__(cls)


def make_router():
    return Router(FakeSettings(), FakeParts(), None)


def make_publisher():
    return Publisher("127.0.0.1:0", None, None, None, None, None, None)


def make_server():
    return HttpServer("127.0.0.1:0", None, None, None)


@pytest.mark.parametrize(
    "make, owner, task",
    [
        (lambda: without_init(TopicFollower), TopicFollower, "_run"),
        (lambda: without_init(SourceSelector), SourceSelector, "_run"),
        (lambda: without_init(DelayedRemovals), DelayedRemovals, "_run"),
        (lambda: without_init(CacheWatcher), CacheWatcher, "_run"),
        (lambda: without_init(CoordinatorShare), CoordinatorShare, "_run"),
        (lambda: without_init(RolloutManager), RolloutManager, "_run"),
        (make_publisher, Publisher, "_run_ticks"),
        (make_publisher, publisher, "run_accept_loop"),
        (make_server, server, "run_accept_loop"),
        (make_router, Router, "_run_registration"),
        (make_router, Router, "_run_expiry"),
    ],
)
def test_task_is_started_again_after_an_unexpected_exception(
    monkeypatch, make, owner, task
):
    calls = []

    def run(*_):
        calls.append(1)
        if len(calls) == 1:
            raise ValueError("unexpected")

    monkeypatch.setattr(tasks, "RESTART_DELAY_MS", 1)
    monkeypatch.setattr(Publisher, "_run_ticks", lambda self: None)
    for name in ("_run_registration", "_run_expiry"):
        monkeypatch.setattr(Router, name, lambda self: None)
    monkeypatch.setattr(owner, task, run)
    make().start()
    sleep(0.05)
    assert len(calls) == 2
