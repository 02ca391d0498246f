"""Asks all routers what they have in force."""

import msgspec

from mulberryhub.base.green import GreenPool
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.replica.messages import STATUS, RouterStatus, StatusRequest

CALL_TIMEOUT = 1_000  # ms
CALLS_AT_ONCE = 32


class RouterReport(msgspec.Struct, frozen=True):
    """The status of the router on a VM, or None where it gave none."""

    vm: str
    status: RouterStatus | None
    reason: str = ""


def collect_reports(call, vms):
    """Return a RouterReport for each of `vms`; `call` is `PeerClient.call`."""
    if call is None:
        return []

    def ask(vm):
        try:
            status = call(
                vm.peer_address, STATUS, StatusRequest(), RouterStatus, CALL_TIMEOUT
            )
        except PeerUnavailable as error:
            return RouterReport(vm.id, None, error.reason)
        return RouterReport(vm.id, status)

    return list(GreenPool(CALLS_AT_ONCE).imap(ask, vms))
