"""Starts programs of the project on loopback and stops them by process id."""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import urllib3

STOP_TIMEOUT_MS = 30_000
REQUEST_TIMEOUT_MS = 30_000


class Process:
    """A running program, the address that it listens on and its captured stderr."""

    def __init__(self, module, *arguments, environ=None):
        """Start `module` with `python -m` and wait until it reports its address.

        Raise RuntimeError if the first line of its output is not its address.
        """
        self.stderr_path = Path(tempfile.mkstemp(prefix="mulberryhub-")[1])
        self.popen = subprocess.Popen(
            [sys.executable, "-m", module, *map(str, arguments)],
            stdout=subprocess.PIPE,
            stderr=self.stderr_path.open("wb"),
            env={**os.environ, **(environ or {})},
            text=True,
        )
        line = self.popen.stdout.readline()
        if not line.startswith("listening on "):
            raise RuntimeError(f"{module} failed to start: {self.read_stderr()}")
        self.address = line.split()[-1]

    def read_stderr(self):
        """Return everything that the program has written to standard error."""
        return self.stderr_path.read_text()

    def url(self, path):
        """Return the URL of `path` on the program's HTTP server."""
        return f"http://{self.address}{path}"

    def request(self, method, path, **options):
        """Send an HTTP request without retries and return the complete response.

        `options` are passed to `urllib3.request`.
        """
        options.setdefault("timeout", REQUEST_TIMEOUT_MS / 1000)
        return urllib3.request(method, self.url(path), retries=False, **options)

    def set_faults(self, **values):
        """Set faults that a stand-in injects; a value of None disables a fault."""
        response = self.request("POST", "/faults", json=values)
        assert response.status == 200

    def send_signal(self, number):
        """Send the signal `number` to the program."""
        self.popen.send_signal(number)

    def kill(self):
        """Send SIGKILL and wait until the program has exited."""
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout=STOP_TIMEOUT_MS):
        """Send SIGTERM and return the exit code; kill the program after `timeout` ms.

        A suspended program is resumed first so that it can handle SIGTERM.
        """
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(timeout / 1000)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


class ProcessGroup:
    """A context manager that kills the programs it started on exit."""

    def __init__(self):
        self.processes = []

    def start(self, module, *arguments, **options):
        """Start the program `module` and return its Process once it listens."""
        process = Process(module, *arguments, **options)
        self.processes.append(process)
        return process

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for process in self.processes:
            if process.popen.poll() is None:
                process.kill()
            process.popen.stdout.close()
            process.stderr_path.unlink(missing_ok=True)
