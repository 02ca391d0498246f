"""Client of the engines' interface for orders."""

import msgspec

from mulberryhub.base.green import urllib3
from mulberryhub.upstream.messages import EngineLoad

READ_TIMEOUT = 2_000  # ms
ORDER_TIMEOUT = 5_000  # ms


class OrderClient:
    """Reads versions and sends orders, each over a new connection."""

    __slots__ = ("_http",)

    def __init__(self):
        self._http = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)

    def read_versions(self, engine):
        """Return the engine's versions by model, or None where it does not answer."""
        try:
            answer = self._request("GET", engine, "/load", READ_TIMEOUT)
            return msgspec.json.decode(answer.data, type=EngineLoad).models
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            return None

    def send(self, engine, order):
        """Send an order and return the HTTP status, 0 where no answer came."""
        body = msgspec.json.encode(order)
        try:
            return self._request("POST", engine, "/orders", ORDER_TIMEOUT, body).status
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
