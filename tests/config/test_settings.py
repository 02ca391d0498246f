import subprocess
import sys

import pytest

from mulberryhub.config.settings import (
    Secrets,
    SettingsInvalid,
    read_secrets,
    read_settings,
)

START_TIMEOUT = 30.0  # s


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
def test_unusable_settings_are_reported_with_their_file(tmp_path, data):
    path = tmp_path / "settings.json"
    path.write_bytes(data)
    with pytest.raises(SettingsInvalid) as raised:
        read_settings(str(path))
    assert str(path) in str(raised.value)


def test_secrets_have_defaults():
    assert read_secrets("") == Secrets()


def test_daemon_ends_with_a_clear_message(tmp_path):
    command = [sys.executable, "-m", "mulberryhub.daemon", "--settings"]
    finished = subprocess.run(
        [*command, str(tmp_path / "missing.json")],
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT,
    )
    assert finished.returncode == 2
    assert "missing.json: No such file" in finished.stderr
    assert "Traceback" not in finished.stderr
