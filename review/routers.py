"""Starts and ends router processes with the command of the deploy file."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import tempfile
from pathlib import Path

ROOT = Path.cwd()  # the scripts start in the root of the repository
COMMAND = ["python3", "-m", "mulberryhub.adapter", "--metrics-port"]
READY_TIMEOUT_S = 20
SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "bkk"
portRange = [{p0}, {p1}]
seeds = [{seeds}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", \
"stream", "engine", "tenants", "quota", "platform"]
[zones]
bkk-a = "bkk"
bkk-b = "bkk"
bkk-c = "bkk"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
stretchMaxMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 58
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 110000
recoveryS = 12
transitMs = 120
retryAfterS = 10
requireFence = true
leaseMs = 3000
thawMs = 300
versionMs = 12000
versionAllMs = 17000
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendLatencyMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
maxRecordBytes = 262144
maxRequestBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
"""


def free_port(ip="127.0.0.1"):
    """Return a port of `ip` that is free now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def resident_mb(pid):
    """Return the resident memory of a process in MB, 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/status").read_text().split()
        return int(fields[fields.index("VmRSS:") + 1]) / 1000
    except (OSError, ValueError):
        return 0


def unresponsive_listener(ip, port):
    """Return sockets that keep an address from answering a new connection.

    The queue of the listener is full, so that further connections hang as those to a
    machine without power do.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(0)
    sockets = [listener]
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((ip, port))
        sockets.append(filler)
    return sockets


class Router:
    """One router process on a loopback address of its own."""

    def __init__(self, folder, name, zone, ip, store_address, seeds=()):
        self.name = name
        self.ip = ip
        self.front = free_port(ip)
        self.ready = free_port(ip)
        self.control = free_port(ip)
        self.metrics = free_port(ip)
        self.log_path = Path(folder) / f"{name}.log"
        self._settings_path = Path(folder) / f"{name}.toml"
        ports = [free_port(ip), free_port(ip)]
        self._settings_path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ip=ip,
                front=self.front,
                ready=self.ready,
                control=self.control,
                store=store_address,
                p0=min(ports),
                p1=max(ports),
                seeds=", ".join(f'"{seed}"' for seed in seeds),
            )
        )
        self.popen = None

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = "target/deps"
        environment["MULBERRYHUB_SETTINGS"] = str(self._settings_path)
        with self.log_path.open("ab") as log_file:
            self.popen = subprocess.Popen(
                [*COMMAND, str(self.metrics)],
                cwd=ROOT,
                env=environment,
                stdout=log_file,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self):
        """Kill the process, also one that is stopped, and reap it."""
        if self.popen is not None:
            if self.popen.poll() is None:
                self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()

    async def wait_until_ready(self):
        """Wait for a readiness answer of 200; raise TimeoutError."""
        end = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while True:
            if await self._is_ready():
                return
            if asyncio.get_running_loop().time() > end:
                raise TimeoutError(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class RouterGroup:
    """Routers with a temporary folder for settings and logs."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.routers = []

    def add(self, name, zone, ip, store_address, seeds=()):
        """Make a Router, which is not started."""
        router = Router(self.folder, name, zone, ip, store_address, seeds)
        self.routers.append(router)
        return router

    def close(self):
        """End all processes and remove the folder, unless KEEP_LOGS names another."""
        for router in self.routers:
            router.end()
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
