import subprocess
import sys

import pytest

from mulberryhub.config.settings import (
    Secrets,
    SettingsInvalid,
    read_secrets,
    read_settings,
)

START_TIMEOUT_S = 30.0


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b'{"vm": 1}',
        b'{"vm": "\xff"}',
        b'{"unknown": true}',
        b'{"vm":' + b"[" * 50_000,
    ],
)
def test_invalid_settings_are_reported_with_their_path(tmp_path, data):
    path = tmp_path / "settings.json"
    path.write_bytes(data)
    with pytest.raises(SettingsInvalid) as raised:
        read_settings(str(path))
    assert str(path) in str(raised.value)


def test_secrets_without_a_file_are_the_defaults():
    assert read_secrets("") == Secrets()


def test_daemon_reports_missing_settings_without_a_traceback(tmp_path):
    command = [sys.executable, "-m", "mulberryhub.daemon", "--settings"]
    finished = subprocess.run(
        [*command, str(tmp_path / "missing.json")],
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
    )
    assert finished.returncode == 2
    assert "missing.json: No such file" in finished.stderr
    assert "Traceback" not in finished.stderr
