"""Settings of a router process, read from a JSON file; durations are in ms."""

import msgspec

from mulberryhub.base.findings import Finding


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings that a router needs before it can read the configuration.

    `address` is for callers and operators, `peer_address` for other routers;
    `log_address` and `vm_list_address` are services of the platform. `peers` are the
    peer addresses to request a snapshot from while the VM list is not available.
    On shutdown, the readiness check fails for `drain_delay` before the listener
    closes, and calls in progress get up to `stop_timeout` to finish.
    """

    vm: str
    data_centre: str
    address: str
    peer_address: str
    log_address: str
    vm_list_address: str = ""
    statsd_address: str = ""
    secrets_file: str = ""
    peers: list[str] = []
    log_level: str = "INFO"
    log_json: bool = False
    policy: str = "cost"
    drain_delay: int = 0
    stop_timeout: int = 600_000


class Secrets(msgspec.Struct, forbid_unknown_fields=True):
    """Secrets shared by all routers.

    `token_key` signs resume tokens and `peer_key` authenticates calls between
    routers. `operator_key_hash` is the SHA-256 of the initial operator key, which is
    valid until an inventory defines operators.
    """

    token_key: str = "development"
    peer_key: str = "development"
    operator_key_hash: str = ""


class SettingsInvalid(Exception):
    """A settings file is missing or invalid; `findings` has the reasons."""

    def __init__(self, findings):
        super().__init__("; ".join(map(str, findings)))
        self.findings = findings


def read_settings(path):
    """Return the Settings in the file `path`, or raise SettingsInvalid."""
    return _decode_file(path, Settings)


def read_secrets(path):
    """Return the Secrets in the file `path`, or the defaults if `path` is empty.

    Raise SettingsInvalid if the file is missing or invalid.
    """
    return _decode_file(path, Secrets) if path else Secrets()


def _decode_file(path, type_):
    try:
        with open(path, "rb") as file:
            return msgspec.json.decode(file.read(), type=type_)
    except OSError as error:
        raise SettingsInvalid([Finding("$", f"{path}: {error.strerror}")]) from error
    except msgspec.DecodeError as error:
        raise SettingsInvalid([Finding("$", f"{path}: {error}")]) from error
