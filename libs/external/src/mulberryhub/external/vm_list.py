"""HTTP client of the platform's list of live and leaving VMs.

The list is updated with a delay.
"""

from typing import Literal

import msgspec

from mulberryhub.base.green import urllib3

REQUEST_TIMEOUT_MS = 3_000


class VmListUnavailable(Exception):
    """The platform gave no usable response."""


class VmEntry(msgspec.Struct, frozen=True):
    """A VM of the list; `peer_address` is where its router listens (host:port)."""

    id: str
    state: Literal["live", "leaving"] = "live"
    data_centre: str = ""
    peer_address: str = ""


class VmListResponse(msgspec.Struct):
    """Response body."""

    vms: list[VmEntry]


class VmListClient:
    """Reads the VM list from the service at `address` (host:port)."""

    __slots__ = ("_url", "_pool")

    def __init__(self, address):
        self._url = f"http://{address}/vms"
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)

    def read(self, timeout=REQUEST_TIMEOUT_MS):
        """Return the list of VmEntry. `timeout` is in ms. Raise VmListUnavailable."""
        timeouts = urllib3.Timeout(connect=timeout / 1000, read=timeout / 1000)
        try:
            response = self._pool.request("GET", self._url, timeout=timeouts)
            if response.status != 200:
                raise VmListUnavailable(
                    f"the VM list responded with status {response.status}"
                )
            return msgspec.json.decode(response.data, type=VmListResponse).vms
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            raise VmListUnavailable(str(error)) from error
