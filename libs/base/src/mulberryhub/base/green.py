"""The only place that names eventlet's green modules.

Nothing is monkey-patched: grpcio keeps its native threads, and code that must
yield to the hub imports the green names from here.
"""

import os
import warnings

# Peers are known by IP address; the resolver would be a third of a start.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message="\\nEventlet is deprecated")

import eventlet  # noqa: E402
from eventlet import (  # noqa: E402
    GreenPool,
    Timeout,
    event,
    getcurrent,
    hubs,
    kill,
    listen,
    queue,
    semaphore,
    sleep,
    spawn,
    spawn_n,
    wsgi,
)
from eventlet.green import socket  # noqa: E402

urllib3 = eventlet.import_patched("urllib3")

Event = event.Event
Queue = queue.Queue
Semaphore = semaphore.Semaphore

__all__ = [
    "Event",
    "GreenPool",
    "Queue",
    "Semaphore",
    "Timeout",
    "getcurrent",
    "hubs",
    "kill",
    "listen",
    "queue",
    "sleep",
    "socket",
    "spawn",
    "spawn_n",
    "urllib3",
    "wsgi",
]
