"""Asks all routers what they have in force."""

from mulberryhub.base.green import GreenPool
from mulberryhub.config.administration import RouterReport, RouterStatus
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.replica.messages import STATUS, StatusRequest

CALL_TIMEOUT = 1_000  # ms
CALLS_AT_ONCE = 32


def collect_reports(call, vms, live_vms, key_hash=""):
    """Return a RouterReport for each of `vms`; `call` is `PeerClient.call`.

    `live_vms` are the ids of live VMs, or None where they are not known.
    """
    if call is None:
        return []

    def ask(vm):
        is_live = live_vms is None or vm.id in live_vms
        request = StatusRequest(key_hash)
        try:
            status = call(vm.peer_address, STATUS, request, RouterStatus, CALL_TIMEOUT)
        except PeerUnavailable as error:
            return RouterReport(vm.id, None, error.reason, is_live)
        return RouterReport(vm.id, status, live=is_live)

    return list(GreenPool(CALLS_AT_ONCE).imap(ask, vms))
