"""Collects status reports from the other routers."""

from mulberryhub.base.green import GreenPool
from mulberryhub.config.administration import RouterReport, RouterStatus
from mulberryhub.peers.client import PeerUnavailable
from mulberryhub.replica.messages import STATUS_METHOD, StatusRequest

CALL_TIMEOUT_MS = 1_000
MAX_CONCURRENT_CALL_COUNT = 32


def collect_router_reports(call, vms, live_vms, key_hash=""):
    """Return a RouterReport for each of `vms`; `call` is `PeerClient.call`.

    `live_vms` holds the ids of the live VMs, or is None if they are not known.
    Return an empty list if `call` is None.
    """
    if call is None:
        return []

    def fetch_report(vm):
        is_live = live_vms is None or vm.id in live_vms
        request = StatusRequest(key_hash)
        try:
            status = call(
                vm.peer_address, STATUS_METHOD, request, RouterStatus, CALL_TIMEOUT_MS
            )
        except PeerUnavailable as error:
            return RouterReport(vm.id, None, error.reason, is_live)
        return RouterReport(vm.id, status, live=is_live)

    return list(GreenPool(MAX_CONCURRENT_CALL_COUNT).imap(fetch_report, vms))
