"""HTTP client for the administration API of a router."""

import os

import msgspec

from mulberryhub.base.findings import Finding
from mulberryhub.base.green import urllib3
from mulberryhub.cli.failures import USAGE_ERROR_CODE, CallFailed, Failure
from mulberryhub.cli.files import read_file

ROUTER_VARIABLE = "MULBERRYHUB_ROUTER"
KEY_VARIABLE = "MULBERRYHUB_OPERATOR_KEY"
CALL_TIMEOUT_MS = 30_000


class _ErrorAnswer(msgspec.Struct):
    error: Failure
    findings: list[Finding] = []


class AdminClient:
    """Client for the router at `address` (host:port).

    Sends `key`, an operator key, with each call.
    """

    __slots__ = ("_router_address", "_operator_key", "_pool")

    def __init__(self, address, key):
        self._router_address = address
        self._operator_key = key
        self._pool = urllib3.PoolManager(retries=False)

    def get(self, path, answer_type):
        """Send a GET and return the answer decoded as `answer_type`.

        Raises CallFailed on connection errors, error statuses and invalid answers.
        """
        return self._send("GET", path, answer_type, None)

    def post(self, path, body, answer_type):
        """Send a POST with `body` (bytes) and return the answer as `answer_type`.

        Raises CallFailed like `get()`.
        """
        return self._send("POST", path, answer_type, body)

    def _send(self, method, path, answer_type, body):
        headers = {"Authorization": f"Bearer {self._operator_key}"}
        url = f"http://{self._router_address}{path}"
        try:
            answer = self._pool.request(
                method, url, body=body, headers=headers, timeout=CALL_TIMEOUT_MS / 1000
            )
        except urllib3.exceptions.HTTPError as error:
            raise CallFailed(Failure(f"{self._router_address}: {error}")) from error
        try:
            if answer.status < 300:
                return msgspec.json.decode(answer.data, type=answer_type)
            error_answer = msgspec.json.decode(answer.data, type=_ErrorAnswer)
        except msgspec.DecodeError as error:
            message = f"{self._router_address} answered {answer.status}: {error}"
            raise CallFailed(Failure(message)) from error
        raise CallFailed(error_answer.error, error_answer.findings)


def connect(router, key_file):
    """Return an AdminClient for a router address and an operator key file.

    Empty arguments fall back to the environment. Raises CallFailed if no router is
    given or the file cannot be read.
    """
    address = router or os.environ.get(ROUTER_VARIABLE, "")
    if not address:
        message = f"no router given: use --router or set {ROUTER_VARIABLE}"
        raise CallFailed(Failure(message, USAGE_ERROR_CODE, "not_run"))
    return AdminClient(address, _read_key(key_file))


def _read_key(key_file):
    if not key_file:
        return os.environ.get(KEY_VARIABLE, "")
    return read_file(key_file).decode().strip()
