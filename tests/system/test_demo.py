import subprocess
import sys

DEMO_TIMEOUT_S = 120.0


def test_demo_serves_and_stops():
    finished = subprocess.run(
        [sys.executable, "-m", "benchmarks.demo"],
        capture_output=True,
        text=True,
        timeout=DEMO_TIMEOUT_S,
    )
    assert finished.returncode == 0, finished.stderr
    lines = finished.stdout.splitlines()
    assert [line.split()[0] for line in lines] == ["chat", "chat", "order", "all"]
