"""Starts programs of the project on loopback and stops just those by process id."""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import urllib3

START_TIMEOUT = 30_000  # ms
REQUEST_TIMEOUT = 30_000  # ms


class Process:
    """One program with the address that it printed and a file with its errors."""

    def __init__(self, module, *arguments, environ=None):
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
            raise RuntimeError(f"{module} did not start: {self.stderr()}")
        self.address = line.split()[-1]

    def stderr(self):
        """Return what the program has written to standard error."""
        return self.stderr_path.read_text()

    def url(self, path):
        """Return the URL of `path` at the program."""
        return f"http://{self.address}{path}"

    def request(self, method, path, **options):
        """Send one HTTP request and return the whole answer."""
        options.setdefault("timeout", REQUEST_TIMEOUT / 1000)
        return urllib3.request(method, self.url(path), retries=False, **options)

    def fault(self, **values):
        """Switch faults of a stand-in on, or off with None."""
        answer = self.request("POST", "/faults", json=values)
        assert answer.status == 200

    def signal(self, number):
        """Send the signal `number`."""
        self.popen.send_signal(number)

    def kill(self):
        """End the program at once."""
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout=START_TIMEOUT):
        """Ask the program to end and return its exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(timeout / 1000)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


class Fleet:
    """Programs that are stopped together on leaving the context."""

    def __init__(self):
        self.processes = []

    def start(self, module, *arguments, **options):
        """Start the program `module` and return it once it listens."""
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
