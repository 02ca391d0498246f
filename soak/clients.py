"""Clients that keep their connections, and what they saw of each request."""

import time
from random import Random

from mulberryhub.adapter_standins.documents import (
    LEAVING_HEADER,
    SEAL_HEADER,
    call_headers,
    deadline_headers,
    prompt_headers,
)
from mulberryhub.base.green import sleep, spawn, urllib3
from soak.fleet import KEPT_KEYS, LIMITED_WORKSPACE, OPEN_WORKSPACE

PAUSES = (0.02, 0.25)  # s between a client's requests
TIMEOUT = 6  # s
DEADLINE = 4_000  # ms
STREAM, ORDER, READ = "stream", "order", "read"
KINDS = (STREAM, STREAM, STREAM, ORDER, READ)
PATHS = {STREAM: "/s/x", ORDER: "/o/x", READ: "/r/x"}
STREAM_TOKENS = 360  # of the prompt and the answer
DEFAULT_TOKENS = 0  # of calls that name none
CUT = 0  # the status of an answer that did not come whole


class Seen:
    """A request as its client saw it; times are ms of wall time.

    `status` is CUT where no whole answer came, and `reason` tells why. `leaving_worker`
    is the id of the worker whose answer said that it leaves.
    """

    __slots__ = (
        "id",
        "kind",
        "workspace",
        "key",
        "router",
        "sent_at",
        "ended_at",
        "status",
        "body",
        "seen_workspace",
        "leaving_worker",
        "reason",
    )

    def __init__(self, id, kind, workspace, key, router):
        self.id = id
        self.kind = kind
        self.workspace = workspace
        self.key = key
        self.router = router
        self.sent_at = now()
        self.ended_at = None
        self.status = CUT
        self.body = b""
        self.seen_workspace = None
        self.leaving_worker = None
        self.reason = ""


class Client:
    """Sends one request after the other, each on the connection that is open."""

    def __init__(self, number, seed, fleet, seen):
        self._number = number
        self._random = Random(f"{seed}/{number}")
        self._fleet = fleet
        self._seen = seen
        self._pools_by_front = {}
        self._count = 0
        self._router = fleet.routers[number % len(fleet.routers)]
        self.running = True

    def start(self):
        """Begin to send in the background."""
        spawn(self._run)

    def _run(self):
        while self.running:
            kind = self._random.choice(KINDS)
            seen = self.ask(kind, *self._credentials(kind))
            if seen.status == CUT:
                self._router = self._random.choice(self._fleet.routers)
            sleep(self._random.uniform(*PAUSES))

    def _credentials(self, kind):
        if kind == STREAM and self._number % 3 == 0:
            return LIMITED_WORKSPACE, KEPT_KEYS[LIMITED_WORKSPACE]
        keys = [KEPT_KEYS[OPEN_WORKSPACE], *self._fleet.spare_keys, "key-spare-1"]
        return OPEN_WORKSPACE, self._random.choice(keys)

    def ask(self, kind, workspace, key, router=None):
        """Send a request and return what was Seen of it."""
        router = router or self._router
        self._count += 1
        id = f"c{self._number}-{self._count}"
        seen = Seen(id, kind, workspace, key, router.name)
        self._seen.append(seen)
        try:
            answer = self._pool(router.front).request(
                "GET" if kind == READ else "POST",
                PATHS[kind],
                body=None if kind == READ else id.encode(),
                headers=_headers(id, kind, key),
                retries=False,
                timeout=TIMEOUT,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            seen.reason = str(error)
        else:
            seen.status = answer.status
            seen.body = answer.data
            seen.seen_workspace = answer.headers.get("X-Tenant-Seen")
            if LEAVING_HEADER in answer.headers:
                seen.leaving_worker = answer.headers.get(SEAL_HEADER)
        seen.ended_at = now()
        return seen

    def _pool(self, front):
        pool = self._pools_by_front.get(front)
        if pool is None:
            host, port = front.split(":")
            pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1)
            self._pools_by_front[front] = pool
        return pool


def _headers(id, kind, key):
    more = prompt_headers if kind == STREAM else deadline_headers
    return {**call_headers(id, key), **more(DEADLINE)}


def now():
    """Return the wall time in ms."""
    return time.time() * 1000
