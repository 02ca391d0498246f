"""Settings of one daemon, read from a JSON file; durations are in ms."""

import msgspec

from mulberryhub.base.findings import Finding


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """What a router knows before it reads the configuration.

    `address` is for callers and operators, `peer_address` for other routers;
    `log_address` and `vm_list_address` belong to the platform. `peers` are the
    peer addresses to ask for a snapshot before the VM list has answered. On a
    stop, readiness fails for `drain_delay` before the listener closes, and
    running calls get up to `stop_timeout`.
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

    `token_key` signs resume tokens and `peer_key` authenticates routers to one
    another. `operator_key_hash` is the SHA-256 of the operator key that holds
    until an inventory names operators.
    """

    token_key: str = "development"
    peer_key: str = "development"
    operator_key_hash: str = ""


class SettingsInvalid(Exception):
    """The settings cannot be used; `findings` says why."""

    def __init__(self, findings):
        super().__init__("; ".join(map(str, findings)))
        self.findings = findings


def read_settings(path):
    """Return the settings in the file `path` or raise SettingsInvalid."""
    return _read(path, Settings)


def read_secrets(path):
    """Return the secrets in the file `path`; an empty path gives the defaults."""
    return _read(path, Secrets) if path else Secrets()


def _read(path, type_):
    try:
        with open(path, "rb") as file:
            return msgspec.json.decode(file.read(), type=type_)
    except OSError as error:
        raise SettingsInvalid([Finding("$", f"{path}: {error.strerror}")]) from error
    except msgspec.DecodeError as error:
        raise SettingsInvalid([Finding("$", f"{path}: {error}")]) from error
