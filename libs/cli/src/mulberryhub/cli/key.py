"""The commands `key add` and `key withdraw`; keys leave the tool as hashes only."""

import sys
from secrets import token_urlsafe

import msgspec

from mulberryhub.base.digest import key_hash
from mulberryhub.cli.client import connect
from mulberryhub.cli.fleet import describe, wait_everywhere
from mulberryhub.cli.output import NOT_EVERYWHERE, OK, write_json
from mulberryhub.config.administration import (
    AddKeyRequest,
    ChangeResponse,
    ConfigurationResponse,
    WithdrawalResponse,
    WithdrawKeyRequest,
)

KEY_BYTES = 32
TIMEOUT = 17  # s


def add(
    workspace: str,
    *,
    timeout: float = TIMEOUT,
    router: str = "",
    key_file: str = "",
    json: bool = False,
):
    """Make a caller's key for a workspace and print it once.

    :param workspace: id of the workspace
    :param timeout: seconds to wait for all routers
    :param router: address of a router, or MULBERRYHUB_ROUTER
    :param key_file: file with the operator key, or MULBERRYHUB_OPERATOR_KEY
    :param json: print JSON
    """
    client = connect(router, key_file)
    base = client.get("/admin/configuration", ConfigurationResponse).base
    key = token_urlsafe(KEY_BYTES)
    body = msgspec.json.encode(AddKeyRequest(key_hash(key), workspace, base))
    offset = client.post("/admin/keys/add", body, ChangeResponse).offset
    missing = wait_everywhere(client, lambda item: item.offset >= offset, timeout)
    if json:
        write_json({"key": key, "offset": offset, "not_in_force": missing})
    else:
        print(key)
        _print_missing(missing)
    return NOT_EVERYWHERE if missing else OK


def withdraw(
    *,
    hash: str = "",
    timeout: float = TIMEOUT,
    router: str = "",
    key_file: str = "",
    json: bool = False,
):
    """Withdraw a key for good, also while the log is down.

    The key is read from standard input unless its hash is given.

    :param hash: SHA-256 of the key in hexadecimal
    :param timeout: seconds to wait for all routers
    :param router: address of a router, or MULBERRYHUB_ROUTER
    :param key_file: file with the operator key, or MULBERRYHUB_OPERATOR_KEY
    :param json: print JSON
    """
    client = connect(router, key_file)
    digest = hash or key_hash(sys.stdin.readline().strip())
    body = msgspec.json.encode(WithdrawKeyRequest(digest))
    offset = client.post("/admin/keys/withdraw", body, WithdrawalResponse).offset
    missing = wait_everywhere(client, lambda item: item.withdrawn, timeout, digest)
    if json:
        write_json({"offset": offset, "not_in_force": missing})
    else:
        print("withdrawn" if offset is not None else "withdrawn, not kept yet")
        _print_missing(missing)
    return NOT_EVERYWHERE if missing else OK


def _print_missing(missing):
    for report in missing:
        print(f"not in force on {describe(report)}", file=sys.stderr)
