"""The commands `key add` and `key withdraw`.

Only the hash of a key is sent to a router.
"""

import sys
from secrets import token_urlsafe

import msgspec

from mulberryhub.base.digest import key_hash
from mulberryhub.cli.client import connect
from mulberryhub.cli.fleet import describe_router, wait_until_in_force
from mulberryhub.cli.output import EXIT_NOT_IN_FORCE, EXIT_OK, write_json
from mulberryhub.config.administration import (
    AddKeyRequest,
    ChangeResponse,
    ConfigurationResponse,
    WithdrawalResponse,
    WithdrawKeyRequest,
)

KEY_BYTES = 32
DEFAULT_TIMEOUT_S = 17


def add(
    workspace: str,
    *,
    timeout: float = DEFAULT_TIMEOUT_S,
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
    not_in_force = wait_until_in_force(
        client, lambda item: item.offset >= offset, timeout
    )
    if json:
        write_json({"key": key, "offset": offset, "not_in_force": not_in_force})
    else:
        print(key)
        _print_not_in_force(not_in_force)
    return EXIT_NOT_IN_FORCE if not_in_force else EXIT_OK


def withdraw(
    *,
    hash: str = "",
    timeout: float = DEFAULT_TIMEOUT_S,
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
    not_in_force = wait_until_in_force(
        client, lambda item: item.withdrawn, timeout, digest
    )
    if json:
        write_json({"offset": offset, "not_in_force": not_in_force})
    else:
        print("withdrawn" if offset is not None else "withdrawn, not yet in the log")
        _print_not_in_force(not_in_force)
    return EXIT_NOT_IN_FORCE if not_in_force else EXIT_OK


def _print_not_in_force(not_in_force):
    for report in not_in_force:
        print(f"not in force on {describe_router(report)}", file=sys.stderr)
