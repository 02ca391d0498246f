"""Client of the platform's list of live and leaving VMs, which lags."""

from typing import Literal

import msgspec

from mulberryhub.base.green import urllib3

TIMEOUT = 3_000  # ms


class VmListUnavailable(Exception):
    """The list gave no usable answer."""


class VmEntry(msgspec.Struct, frozen=True):
    """One VM of the list; `peer_address` is host:port."""

    id: str
    state: Literal["live", "leaving"] = "live"
    data_centre: str = ""
    peer_address: str = ""


class VmList(msgspec.Struct):
    """Body of an answer."""

    vms: list[VmEntry]


class VmListClient:
    """Reads the list at `address` (host:port)."""

    __slots__ = ("_url", "_pool")

    def __init__(self, address):
        self._url = f"http://{address}/vms"
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)

    def read(self, timeout=TIMEOUT):
        """Return the entries of the list. Raise VmListUnavailable."""
        limits = urllib3.Timeout(connect=timeout / 1000, read=timeout / 1000)
        try:
            answer = self._pool.request("GET", self._url, timeout=limits)
            if answer.status != 200:
                raise VmListUnavailable(f"status {answer.status}")
            return msgspec.json.decode(answer.data, type=VmList).vms
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            raise VmListUnavailable(str(error)) from error
