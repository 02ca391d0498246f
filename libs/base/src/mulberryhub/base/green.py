"""The only module that imports eventlet and its green modules.

The standard library is not monkey-patched, so that grpcio keeps its native threads.
Code that must yield to the eventlet hub imports the cooperative versions from here.
"""

import os
import warnings

# Importing eventlet's DNS resolver takes a third of the start-up time, and peers are
# addressed by IP.
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
