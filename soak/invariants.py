"""Invariants of the router, checked on what clients and workers recorded."""

import re
from collections import Counter

from mulberryhub.adapter_standins.documents import MODEL
from mulberryhub.forward.cache_scope import shared_scope
from soak.clients import INCOMPLETE, ORDER, STREAM, STREAM_TOKENS
from soak.fleet import (
    LIMITED_RATE_TOKENS_PER_S,
    LIMITED_WORKSPACE,
    PERMANENT_KEYS,
    QUOTA_SLACK_TOKENS,
    UNLIMITED_WORKSPACE,
    WEIGHTS_ROLLOUT_MS,
)

STREAM_EVENT_IDS = [1, 2, 3, 4, 5, 6]
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # guarantee that nothing was executed
OK = 200
SETTLE_MS = 4_000  # Time bounds apply only so long after the last fault.
KEY_WITHDRAWAL_MS = 2_500  # limit for a withdrawn key to be refused
DRAIN_MS = 2_500  # limit for a draining worker to get no more requests
QUOTA_WINDOW_MS = 8_000
LIMIT_SETTLE_MS = 3_500  # after a worker named its limit, in which it does not bind
LIMIT_WINDOW_MS = 4_000
QUOTA_LIMIT_TOKENS = (
    LIMITED_RATE_TOKENS_PER_S * 8 + LIMITED_RATE_TOKENS_PER_S
) * 1.1 + QUOTA_SLACK_TOKENS


class Violation:
    """A violated invariant, the request or router concerned, and the details."""

    __slots__ = ("invariant", "subject", "detail")

    def __init__(self, invariant, subject, detail):
        self.invariant = invariant
        self.subject = subject
        self.detail = detail

    def __str__(self):
        return f"{self.invariant} {self.subject}: {self.detail}"


class Observations:
    """Everything that was recorded in a run.

    `requests` are the ended ClientRequests, `executions` the RunLines of workers.
    """

    __slots__ = ("requests", "executions", "timeline", "executions_by_request_id")

    def __init__(self, requests, executions, timeline):
        self.requests = [item for item in requests if item.ended_at is not None]
        self.executions = executions
        self.timeline = timeline
        self.executions_by_request_id = {}
        for execution in executions:
            self.executions_by_request_id.setdefault(execution.id, []).append(execution)


def find_violations(observations):
    """Return the Violations of all invariants."""
    return [violation for check in CHECKS for violation in check(observations)]


def check_single_execution(observations):
    """Yield non-idempotent requests that were executed more than once."""
    counts = Counter(execution.id for execution in observations.executions)
    for request in observations.requests:
        if request.route == ORDER and counts[request.id] > 1:
            yield Violation(
                "single execution", request.id, f"executed {counts[request.id]} times"
            )


def check_refusals(observations):
    """Yield non-idempotent requests that were refused as not executed but were."""
    for request in observations.requests:
        if request.route != ORDER or request.status not in NOT_EXECUTED_STATUSES:
            continue
        if request.id in observations.executions_by_request_id:
            yield Violation(
                "refusal",
                request.id,
                f"refused with status {request.status}, but executed",
            )


def check_responses(observations):
    """Yield successful responses that are incomplete, wrong or of no execution."""
    for request in observations.requests:
        if request.status != OK:
            continue
        if request.route == STREAM:
            ids = [int(id) for id in re.findall(rb"id: (\d+)\n", request.body)]
            if ids != STREAM_EVENT_IDS:
                yield Violation("complete stream", request.id, f"event ids {ids}")
        else:
            expected = (
                b"POST " + request.id.encode() if request.route == ORDER else b"GET "
            )
            if request.body != expected:
                yield Violation(
                    "matching response", request.id, f"body {request.body[:60]}"
                )
        if request.id not in observations.executions_by_request_id:
            yield Violation(
                "executed", request.id, "response received, but no worker executed it"
            )


def check_workspaces(observations):
    """Yield executions for a workspace or with a cache salt other than the key's."""
    for request in observations.requests:
        for execution in observations.executions_by_request_id.get(request.id, ()):
            if execution.workspace != request.workspace:
                yield Violation(
                    "workspace", request.id, f"executed for {execution.workspace!r}"
                )
            if request.route != STREAM:
                continue
            salt = f"{MODEL}:{execution.version}"
            if request.workspace == UNLIMITED_WORKSPACE:
                salt += f":{UNLIMITED_WORKSPACE}"
            else:
                salt += shared_scope({UNLIMITED_WORKSPACE})
            if execution.salt != salt:
                yield Violation(
                    "cache salt",
                    request.id,
                    f"salt {execution.salt!r}, expected {salt!r}",
                )


def check_withdrawn_keys(observations):
    """Yield requests served over KEY_WITHDRAWAL_MS after their key's withdrawal."""
    timeline = observations.timeline
    for request in observations.requests:
        withdrawn_at = timeline.withdrawn_at_by_key.get(request.key)
        if withdrawn_at is None or request.status != OK:
            continue
        elapsed = request.sent_at - withdrawn_at
        undisturbed_from = request.sent_at - SETTLE_MS - KEY_WITHDRAWAL_MS
        if elapsed > KEY_WITHDRAWAL_MS and timeline.is_undisturbed(
            undisturbed_from, request.sent_at
        ):
            yield Violation(
                "withdrawal", request.id, f"served {elapsed:.0f} ms after withdrawal"
            )


def check_permanent_keys(observations):
    """Yield requests with a valid key that were answered with status 401 or 404."""
    for request in observations.requests:
        if request.status in (401, 404) and request.key in PERMANENT_KEYS.values():
            yield Violation("valid key", request.id, f"status {request.status}")


def check_graceful_stops(observations):
    """Yield requests that were broken off by a planned stop of their router."""
    for request in observations.requests:
        if (
            request.status == INCOMPLETE
            and observations.timeline.is_affected_only_by_stop(request.router, request)
        ):
            yield Violation("graceful stop", request.id, request.error)


def check_drained_workers(observations):
    """Yield executions more than DRAIN_MS after their worker began to drain."""
    timeline = observations.timeline
    for execution in observations.executions:
        drained_at = timeline.drained_at_by_worker.get(execution.worker)
        if drained_at is None or execution.at - drained_at <= DRAIN_MS:
            continue
        if timeline.is_undisturbed(execution.at - SETTLE_MS - DRAIN_MS, execution.at):
            yield Violation(
                "drain",
                execution.id,
                f"{execution.at - drained_at:.0f} ms after the drain began",
            )


def check_announced_drains(observations):
    """Yield requests that a router sent to a worker whose drain it had forwarded.

    A router forwards the announcement in a response of the worker; DRAIN_MS later it
    must send no more requests to that worker unless its process was down in between.
    """
    announced_at_by_pair = {}
    for request in observations.requests:
        if request.draining_worker is not None:
            pair = (request.router, request.draining_worker)
            announced_at = min(
                request.ended_at, announced_at_by_pair.get(pair, request.ended_at)
            )
            announced_at_by_pair[pair] = announced_at
    for request in observations.requests:
        for execution in observations.executions_by_request_id.get(request.id, ()):
            announced_at = announced_at_by_pair.get((request.router, execution.worker))
            if announced_at is None or request.sent_at - announced_at <= DRAIN_MS:
                continue
            if observations.timeline.is_router_up(
                request.router, announced_at, request.sent_at
            ):
                yield Violation(
                    "announced drain",
                    request.id,
                    f"executed by {execution.worker}, which is draining",
                )


def check_outdated_weights(observations):
    """Yield executions on weights replaced more than WEIGHTS_ROLLOUT_MS before."""
    timeline = observations.timeline
    for execution in observations.executions:
        published_at = timeline.published_at_by_version.get(execution.version + 1)
        if not execution.version or published_at is None:
            continue
        elapsed = execution.at - published_at
        if elapsed > WEIGHTS_ROLLOUT_MS and timeline.is_undisturbed(
            published_at - SETTLE_MS, execution.at
        ):
            yield Violation(
                "weights",
                execution.id,
                f"{elapsed:.0f} ms after newer weights were published",
            )


def check_quotas(observations):
    """Yield the first window in which the limited workspace exceeded its quota."""
    limited_ids = {
        item.id for item in observations.requests if item.workspace == LIMITED_WORKSPACE
    }
    first_executions = {}
    for execution in observations.executions:
        if execution.id in limited_ids:
            first_executions.setdefault(execution.id, execution.at)
    times = sorted(first_executions.values())
    for index, start in enumerate(times):
        count = sum(1 for time in times[index:] if time - start <= QUOTA_WINDOW_MS)
        if count * STREAM_TOKENS > QUOTA_LIMIT_TOKENS:
            yield Violation("quota", "-", f"{count * STREAM_TOKENS} tokens in a window")
            return


def check_worker_limits(observations):
    """Yield the first window in which a worker got more than the limit it named.

    The limit binds from LIMIT_SETTLE_MS after its naming on.
    """
    now = max((item.at for item in observations.executions), default=0)
    for limit in observations.timeline.limits:
        start = limit.started_at + LIMIT_SETTLE_MS
        times = sorted(
            execution.at
            for execution in observations.executions
            if execution.worker == limit.worker
            and start <= execution.at <= (limit.ended_at or now)
        )
        largest = max(
            (sum(0 <= at - first < LIMIT_WINDOW_MS for at in times) for first in times),
            default=0,
        )
        allowed = 1.5 * limit.rate * LIMIT_WINDOW_MS / 1_000 + 5
        if largest > allowed:
            yield Violation(
                "worker limit",
                limit.worker,
                f"{largest} requests in a window, {allowed:.0f} allowed",
            )


CHECKS = (
    check_single_execution,
    check_refusals,
    check_responses,
    check_workspaces,
    check_withdrawn_keys,
    check_permanent_keys,
    check_graceful_stops,
    check_drained_workers,
    check_announced_drains,
    check_outdated_weights,
    check_quotas,
    check_worker_limits,
)
