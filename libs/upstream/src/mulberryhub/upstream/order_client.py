"""Client of the engines' interface for reading model versions and sending orders."""

import msgspec

from mulberryhub.base.green import urllib3
from mulberryhub.upstream.messages import EngineLoad

LOAD_READ_TIMEOUT_MS = 2_000
ORDER_TIMEOUT_MS = 5_000


class OrderClient:
    """Reads model versions from engines and sends orders to them.

    Each request uses a new connection.
    """

    __slots__ = ("_http",)

    def __init__(self):
        self._http = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)

    def read_versions(self, engine):
        """Return the versions on the engine by model, or None if the read fails."""
        try:
            response = self._request("GET", engine, "/load", LOAD_READ_TIMEOUT_MS)
            return msgspec.json.decode(response.data, type=EngineLoad).models
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            return None

    def send(self, engine, order):
        """Send an order; return the HTTP status, or 0 if there was no response."""
        body = msgspec.json.encode(order)
        try:
            return self._request(
                "POST", engine, "/orders", ORDER_TIMEOUT_MS, body
            ).status
        except urllib3.exceptions.HTTPError:
            return 0

    def _request(self, method, engine, path, timeout, body=None):
        return self._http.request(
            method,
            f"http://{engine.address}{path}",
            body=body,
            headers={"Connection": "close"},
            timeout=timeout / 1000,
        )
