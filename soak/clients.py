"""Clients that send requests over persistent connections and record the responses."""

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
from soak.fleet import LIMITED_WORKSPACE, PERMANENT_KEYS, UNLIMITED_WORKSPACE

PAUSE_RANGE_S = (0.02, 0.25)  # between two requests of a client
REQUEST_TIMEOUT_S = 6
DEADLINE_MS = 4_000
STREAM, ORDER, READ = "stream", "order", "read"  # routes of make_config()
WEIGHTED_ROUTES = (STREAM, STREAM, STREAM, ORDER, READ)
PATHS = {STREAM: "/s/x", ORDER: "/o/x", READ: "/r/x"}
STREAM_TOKENS = 360  # 300 of the prompt and 60 of the response
DEFAULT_TOKENS = 0  # of requests without a token count
INCOMPLETE = 0  # status of a request without a complete response


class ClientRequest:
    """A request and its response as the client saw them; times are wall-clock ms.

    `status` is INCOMPLETE and `error` is set if no complete response arrived.
    `draining_worker` is the id of the worker whose response announced its shutdown.
    """

    __slots__ = (
        "id",
        "route",
        "workspace",
        "key",
        "router",
        "sent_at",
        "ended_at",
        "status",
        "body",
        "reported_workspace",
        "draining_worker",
        "error",
    )

    def __init__(self, id, route, workspace, key, router):
        self.id = id
        self.route = route
        self.workspace = workspace
        self.key = key
        self.router = router
        self.sent_at = now_ms()
        self.ended_at = None
        self.status = INCOMPLETE
        self.body = b""
        self.reported_workspace = None
        self.draining_worker = None
        self.error = ""


class Client:
    """Sends requests one at a time and appends each ClientRequest to `requests`.

    It reuses one connection per router and switches to a random router after an
    incomplete response.
    """

    def __init__(self, number, seed, fleet, requests):
        self._number = number
        self._random = Random(f"{seed}/{number}")
        self._fleet = fleet
        self._requests = requests
        self._pools_by_address = {}
        self._sent_count = 0
        self._router = fleet.routers[number % len(fleet.routers)]
        self.running = True

    def start(self):
        """Start sending in a green thread, until `running` is cleared."""
        spawn(self._run)

    def _run(self):
        while self.running:
            route = self._random.choice(WEIGHTED_ROUTES)
            request = self.send(route, *self._choose_credentials(route))
            if request.status == INCOMPLETE:
                self._router = self._random.choice(self._fleet.routers)
            sleep(self._random.uniform(*PAUSE_RANGE_S))

    def _choose_credentials(self, route):
        if route == STREAM and self._number % 3 == 0:
            return LIMITED_WORKSPACE, PERMANENT_KEYS[LIMITED_WORKSPACE]
        # The first spare key stays in use after its withdrawal, which must refuse it.
        keys = [
            PERMANENT_KEYS[UNLIMITED_WORKSPACE],
            *self._fleet.spare_keys,
            "key-spare-1",
        ]
        return UNLIMITED_WORKSPACE, self._random.choice(keys)

    def send(self, route, workspace, key, router=None):
        """Send a request and return its ClientRequest once it has ended."""
        router = router or self._router
        self._sent_count += 1
        id = f"c{self._number}-{self._sent_count}"
        request = ClientRequest(id, route, workspace, key, router.name)
        self._requests.append(request)
        try:
            response = self._pool(router.front).request(
                "GET" if route == READ else "POST",
                PATHS[route],
                body=None if route == READ else id.encode(),
                headers=_headers(id, route, key),
                retries=False,
                timeout=REQUEST_TIMEOUT_S,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            request.error = str(error)
        else:
            request.status = response.status
            request.body = response.data
            request.reported_workspace = response.headers.get("X-Tenant-Seen")
            if LEAVING_HEADER in response.headers:
                request.draining_worker = response.headers.get(SEAL_HEADER)
        request.ended_at = now_ms()
        return request

    def _pool(self, address):
        pool = self._pools_by_address.get(address)
        if pool is None:
            host, port = address.split(":")
            pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1)
            self._pools_by_address[address] = pool
        return pool


def _headers(id, route, key):
    make_headers = prompt_headers if route == STREAM else deadline_headers
    return {**call_headers(id, key), **make_headers(DEADLINE_MS)}


def now_ms():
    """Return the wall-clock time in ms."""
    return time.time() * 1000
