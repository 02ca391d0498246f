"""The promises of the product, checked by what callers and upstreams saw."""

import re
from collections import Counter

from mulberryhub.adapter_standins.documents import MODEL
from soak.clients import CUT, ORDER, STREAM, STREAM_TOKENS
from soak.fleet import (
    KEPT_KEYS,
    LIMITED_RATE,
    LIMITED_WORKSPACE,
    OPEN_WORKSPACE,
    QUOTA_SLACK,
    VERSION_TIME,
)

WHOLE_STREAM = [1, 2, 3, 4, 5, 6]  # ids of its events
PROMISES_NOT_RUN = (408, 421, 429, 503)
OK = 200
SETTLED = 4_000  # ms without a fault after which bounds in time begin to hold
WITHDRAWAL_TIME = 2_500  # ms
LEAVING_TIME = 2_500  # ms
QUOTA_WINDOW = 8_000  # ms
QUOTA_LIMIT = (LIMITED_RATE * 8 + LIMITED_RATE) * 1.1 + QUOTA_SLACK  # tokens


class Breach:
    """A promise that was not kept: its name, the request's id, what was seen."""

    __slots__ = ("promise", "request", "detail")

    def __init__(self, promise, request, detail):
        self.promise = promise
        self.request = request
        self.detail = detail

    def __str__(self):
        return f"{self.promise} {self.request}: {self.detail}"


class Evidence:
    """All that was seen in a run: requests, runs at workers, and the History."""

    __slots__ = ("seen", "runs", "history", "runs_by_id")

    def __init__(self, seen, runs, history):
        self.seen = [item for item in seen if item.ended_at is not None]
        self.runs = runs
        self.history = history
        self.runs_by_id = {}
        for run in runs:
            self.runs_by_id.setdefault(run.id, []).append(run)


def find_breaches(evidence):
    """Return the Breaches of all promises."""
    return [breach for check in CHECKS for breach in check(evidence)]


def orders_run_once(evidence):
    """Yield orders that ran more than once."""
    counts = Counter(run.id for run in evidence.runs)
    for seen in evidence.seen:
        if seen.kind == ORDER and counts[seen.id] > 1:
            yield Breach("once", seen.id, f"ran {counts[seen.id]} times")


def refusals_are_true(evidence):
    """Yield orders that ran although their answer promises that they did not."""
    for seen in evidence.seen:
        if seen.kind != ORDER or seen.status not in PROMISES_NOT_RUN:
            continue
        if seen.id in evidence.runs_by_id:
            yield Breach("not run", seen.id, f"answered {seen.status} and ran")


def answers_are_whole_and_own(evidence):
    """Yield complete answers that are not the whole answer to their request."""
    for seen in evidence.seen:
        if seen.status != OK:
            continue
        if seen.kind == STREAM:
            ids = [int(id) for id in re.findall(rb"id: (\d+)\n", seen.body)]
            if ids != WHOLE_STREAM:
                yield Breach("whole", seen.id, f"events {ids}")
        else:
            wanted = b"POST " + seen.id.encode() if seen.kind == ORDER else b"GET "
            if seen.body != wanted:
                yield Breach("own", seen.id, f"body {seen.body[:60]}")
        if seen.id not in evidence.runs_by_id:
            yield Breach("run", seen.id, "answered though no worker ran it")


def runs_are_for_the_workspace(evidence):
    """Yield runs for another workspace than that of the key, or on its cache."""
    for seen in evidence.seen:
        for run in evidence.runs_by_id.get(seen.id, ()):
            if run.workspace != seen.workspace:
                yield Breach("workspace", seen.id, f"ran for {run.workspace!r}")
            if seen.kind != STREAM:
                continue
            salt = f"{MODEL}:{run.version}"
            if seen.workspace == OPEN_WORKSPACE:
                salt += f":{OPEN_WORKSPACE}"
            if run.salt != salt:
                yield Breach("cache", seen.id, f"salt {run.salt!r}, not {salt!r}")


def withdrawn_keys_stop(evidence):
    """Yield requests that were served long after their key was withdrawn."""
    history = evidence.history
    for seen in evidence.seen:
        withdrawn_at = history.withdrawn_at_by_key.get(seen.key)
        if withdrawn_at is None or seen.status != OK:
            continue
        late = seen.sent_at - withdrawn_at
        calm_from = seen.sent_at - SETTLED - WITHDRAWAL_TIME
        if late > WITHDRAWAL_TIME and history.is_calm(calm_from, seen.sent_at):
            yield Breach("withdrawal", seen.id, f"served {late:.0f} ms after it")


def kept_keys_are_served(evidence):
    """Yield requests of keys in force that were answered as unknown."""
    for seen in evidence.seen:
        if seen.status in (401, 404) and seen.key in KEPT_KEYS.values():
            yield Breach("known", seen.id, f"answered {seen.status}")


def stops_cut_nothing(evidence):
    """Yield requests that only a planned stop of their router touched, and cut."""
    for seen in evidence.seen:
        if seen.status == CUT and evidence.history.stops_alone(seen.router, seen):
            yield Breach("stop", seen.id, seen.reason)


def leaving_workers_get_nothing(evidence):
    """Yield runs at workers long after they said that they leave."""
    history = evidence.history
    for run in evidence.runs:
        left_at = history.left_at_by_id.get(run.worker)
        if left_at is None or run.at - left_at <= LEAVING_TIME:
            continue
        if history.is_calm(run.at - SETTLED - LEAVING_TIME, run.at):
            yield Breach("leaving", run.id, f"{run.at - left_at:.0f} ms after it")


def workers_that_say_they_leave_get_nothing(evidence):
    """Yield runs that a router gave to a worker whose leaving it had passed on."""
    told_at_by_pair = {}
    for seen in evidence.seen:
        if seen.leaving_worker is not None:
            pair = (seen.router, seen.leaving_worker)
            told_at = min(seen.ended_at, told_at_by_pair.get(pair, seen.ended_at))
            told_at_by_pair[pair] = told_at
    for seen in evidence.seen:
        for run in evidence.runs_by_id.get(seen.id, ()):
            told_at = told_at_by_pair.get((seen.router, run.worker))
            if told_at is None or seen.sent_at - told_at <= LEAVING_TIME:
                continue
            if evidence.history.runs_on(seen.router, told_at, seen.sent_at):
                yield Breach("told", seen.id, f"at {run.worker}, which leaves")


def old_weights_stop(evidence):
    """Yield runs on weights long after newer ones were named."""
    history = evidence.history
    for run in evidence.runs:
        named_at = history.named_at_by_version.get(run.version + 1)
        if not run.version or named_at is None:
            continue
        late = run.at - named_at
        if late > VERSION_TIME and history.is_calm(named_at - SETTLED, run.at):
            yield Breach("weights", run.id, f"{late:.0f} ms after newer ones")


def quotas_hold(evidence):
    """Yield windows in which the limited workspace ran more than it may."""
    wanted = {item.id for item in evidence.seen if item.workspace == LIMITED_WORKSPACE}
    first_runs = {}
    for run in evidence.runs:
        if run.id in wanted:
            first_runs.setdefault(run.id, run.at)
    times = sorted(first_runs.values())
    for index, start in enumerate(times):
        count = sum(1 for time in times[index:] if time - start <= QUOTA_WINDOW)
        if count * STREAM_TOKENS > QUOTA_LIMIT:
            yield Breach("quota", "-", f"{count * STREAM_TOKENS} tokens in a window")
            return


CHECKS = (
    orders_run_once,
    refusals_are_true,
    answers_are_whole_and_own,
    runs_are_for_the_workspace,
    withdrawn_keys_stop,
    kept_keys_are_served,
    stops_cut_nothing,
    leaving_workers_get_nothing,
    workers_that_say_they_leave_get_nothing,
    old_weights_stop,
    quotas_hold,
)
