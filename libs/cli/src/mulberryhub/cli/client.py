"""Calls to the administration API of a router."""

import os

import msgspec

from mulberryhub.base.findings import Finding
from mulberryhub.base.green import urllib3
from mulberryhub.cli.failures import USAGE_CODE, CallFailed, Failure
from mulberryhub.cli.files import read_file

ROUTER_VARIABLE = "MULBERRYHUB_ROUTER"
KEY_VARIABLE = "MULBERRYHUB_OPERATOR_KEY"
TIMEOUT = 30_000  # ms


class _Refusal(msgspec.Struct):
    error: Failure
    findings: list[Finding] = []


class AdminClient:
    """Calls the router at `address` (host:port) with an operator's key."""

    __slots__ = ("_address", "_key", "_pool")

    def __init__(self, address, key):
        self._address = address
        self._key = key
        self._pool = urllib3.PoolManager(retries=False)

    def get(self, path, answer_type):
        """Return the answer to a GET as `answer_type`, or raise CallFailed."""
        return self._call("GET", path, answer_type, None)

    def post(self, path, body, answer_type):
        """Return the answer to a POST of `body` in bytes, or raise CallFailed."""
        return self._call("POST", path, answer_type, body)

    def _call(self, method, path, answer_type, body):
        headers = {"Authorization": f"Bearer {self._key}"}
        url = f"http://{self._address}{path}"
        try:
            answer = self._pool.request(
                method, url, body=body, headers=headers, timeout=TIMEOUT / 1000
            )
        except urllib3.exceptions.HTTPError as error:
            raise CallFailed(Failure(f"{self._address}: {error}")) from error
        try:
            if answer.status < 300:
                return msgspec.json.decode(answer.data, type=answer_type)
            refusal = msgspec.json.decode(answer.data, type=_Refusal)
        except msgspec.DecodeError as error:
            message = f"{self._address} answered {answer.status}: {error}"
            raise CallFailed(Failure(message)) from error
        raise CallFailed(refusal.error, refusal.findings)


def connect(router, key_file):
    """Return a client; empty arguments are taken from the environment."""
    address = router or os.environ.get(ROUTER_VARIABLE, "")
    if not address:
        message = f"name a router by --router or {ROUTER_VARIABLE}"
        raise CallFailed(Failure(message, USAGE_CODE, "not_run"))
    return AdminClient(address, _read_key(key_file))


def _read_key(key_file):
    if not key_file:
        return os.environ.get(KEY_VARIABLE, "")
    return read_file(key_file).decode().strip()
