import subprocess
import sys

DEMO_TIMEOUT = 120.0  # s


def test_demo_serves_and_stops():
    finished = subprocess.run(
        [sys.executable, "-m", "benchmarks.demo"],
        capture_output=True,
        text=True,
        timeout=DEMO_TIMEOUT,
    )
    assert finished.returncode == 0, finished.stderr
    lines = finished.stdout.splitlines()
    assert [line.split()[0] for line in lines] == ["chat", "chat", "order", "all"]
