"""Suspects: requests that may have crashed an engine, shared by all routers.

When an engine crashes, every request that it was running becomes a suspect. A
suspect may run again only with a lease on an engine, which allows one suspect on
that engine at a time. If an engine crashes while it runs a suspect with a lease,
that request is taken to be the cause: it is quarantined, and all routers reject it
for QUARANTINE_DURATION_MS. A prefix that many such requests share is found from all
crashes together, see `fleet.blame`, and then all requests with it are rejected.
"""

from random import uniform

import msgspec

from mulberryhub.base.digest import rendezvous_score
from mulberryhub.base.green import GreenPool, sleep, spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import CrashedRun, Suspect
from mulberryhub.fleet.suspects import Suspects as SuspectTable
from mulberryhub.gateway.suspect_leases import (
    LeaseAnswer,
    LeaseRequest,
    SuspectLeaseTable,
)
from mulberryhub.peers.client import PeerUnavailable

SUSPICION_DURATION_MS = 60_000
QUARANTINE_DURATION_MS = 600_000
PURGE_THRESHOLD_COUNT = 10_000  # entries above which expired ones are removed
PEER_TIMEOUT_MS = 500
REPORT_BATCH_DELAY_MS = 20
REPORT_RETRY_DELAY_MS = 500
MAX_REPORT_RETRIES = 5  # after which members no longer list a router that is gone
MAX_CONCURRENT_REPORTS = 16
LEASE_RETRY_DELAY_RANGE_MS = (50, 150)
MAX_COORDINATORS = 3
MAX_PREFIX_COUNT = 64  # of one request, the shortest ones

log = module_logger(__name__)


class SuspectReport(msgspec.Struct):
    """Fingerprints of requests to record as suspects, or to quarantine.

    `prefixes` are the records of shared prefixes that changed.
    """

    fingerprints: list[str]
    is_quarantine: bool
    prefixes: list[Suspect] = []


class SuspectReportAnswer(msgspec.Struct):
    """Acknowledges a SuspectReport."""


class Suspects:
    """Records suspect and quarantined requests and obtains leases to run suspects.

    Requests are identified by fingerprint. `get_members()` returns the MembershipState
    of the fleet, or None while they are unknown; leases and reports then stay local to
    this router, whose VM has the id `vm`.
    """

    __slots__ = (
        "_vm",
        "_get_members",
        "_peers",
        "_counters",
        "_clock",
        "_lease_table",
        "_leased_engines",
        "_expiry_by_suspect",
        "_expiry_by_quarantined",
        "_unreported_fingerprints",
        "_prefixes",
        "_unreported_prefixes",
    )

    def __init__(self, vm, get_members, peers, peer_server, counters, clock):
        self._vm = vm
        self._get_members = get_members
        self._peers = peers
        self._counters = counters
        self._clock = clock
        self._lease_table = SuspectLeaseTable(clock)
        self._leased_engines = set()
        self._expiry_by_suspect = {}
        self._expiry_by_quarantined = {}
        self._unreported_fingerprints = []
        self._prefixes = SuspectTable(clock)
        self._unreported_prefixes = []
        peer_server.register_handler(
            "suspect_report", SuspectReport, self._record_report
        )
        peer_server.register_handler(
            "suspect_turn", LeaseRequest, self._lease_table.handle
        )

    def is_suspect(self, fingerprint):
        """Return whether the request may run only with a lease."""
        return self._is_current(self._expiry_by_suspect, fingerprint)

    def is_quarantined(self, fingerprint):
        """Return whether the request must be rejected."""
        return self._is_current(self._expiry_by_quarantined, fingerprint)

    def has_quarantined_prefix(self, prefixes):
        """Return whether requests with one of `prefixes` must be rejected."""
        return bool(len(self._prefixes)) and any(
            map(self._prefixes.is_quarantined, prefixes[:MAX_PREFIX_COUNT])
        )

    def record_prefix_crash(self, incarnation, fingerprint, prefixes, had_lease):
        """Record that an engine crashed while it ran a request with `prefixes`.

        `incarnation` names the start of the engine. Prefixes are given from the
        shortest to the longest one. If one of them is quarantined by this, or the
        request ran with a lease, all reachable routers have been informed on return.
        """
        run = CrashedRun(incarnation, 0, had_lease, fingerprint)
        shared = prefixes[:MAX_PREFIX_COUNT]
        for breadth, prefix in enumerate(reversed(shared), start=1):
            round = self._prefixes.get(prefix).round
            self._apply_prefix(Suspect(prefix, round, [run], breadth))
        if had_lease or self.has_quarantined_prefix(shared):
            self._broadcast_unreported()
        self._report_soon()

    def record_served(self, prefixes):
        """Record that an engine completed a request with `prefixes`."""
        if not len(self._prefixes):
            return
        for prefix in prefixes[:MAX_PREFIX_COUNT]:
            suspect = self._prefixes.get(prefix)
            if suspect.crashed_runs:
                self._apply_prefix(
                    Suspect(prefix, suspect.round + 1, breadth=suspect.breadth)
                )
        self._report_soon()

    def _apply_prefix(self, suspect):
        if self._prefixes.apply(suspect) is not None:
            self._unreported_prefixes.append(suspect)
        self._prefixes.drop_expired()

    def _report_soon(self):
        if self._unreported_prefixes and not self._unreported_fingerprints:
            spawn_n(self._broadcast_batch)

    def _is_current(self, expiry_by_fingerprint, fingerprint):
        return expiry_by_fingerprint.get(fingerprint, 0) > self._clock.now()

    def record_crash(self, fingerprint, had_lease):
        """Record that an engine crashed while it ran the request.

        A request that ran with a lease was the only suspect on the engine. It is
        quarantined, and all reachable routers have been informed on return.
        Otherwise the request becomes a suspect, which is reported in the background.
        """
        if had_lease:
            log.warning("request {} quarantined: crashed a second engine", fingerprint)
            self._counters.add("suspects.quarantined")
            report = SuspectReport([fingerprint], True)
            self._record_report(report)
            self._broadcast(report)
            return
        self._counters.add("suspects.noted")
        self._record_report(SuspectReport([fingerprint], False))
        self._unreported_fingerprints.append(fingerprint)
        if len(self._unreported_fingerprints) == 1:
            spawn_n(self._broadcast_batch)

    def clear(self, fingerprint):
        """Remove a suspect that has run past the point at which the engine crashed."""
        if self._expiry_by_suspect.pop(fingerprint, None) is not None:
            self._counters.add("suspects.cleared")

    def acquire_lease(self, engine, holder):
        """Return whether `holder` has obtained the lease to run on `engine`."""
        if engine in self._leased_engines:
            return False
        self._leased_engines.add(engine)
        granted = False
        try:
            granted = self._request_lease(LeaseRequest(engine, holder))
        finally:
            if not granted:
                self._leased_engines.discard(engine)
        return granted

    def release_lease(self, engine, holder):
        """Release a lease in the background."""
        spawn_n(self._release, LeaseRequest(engine, holder, is_release=True))

    def _release(self, request):
        self._request_lease(request)
        self._leased_engines.discard(request.engine)

    def wait_for_retry(self):
        """Sleep for a random delay before the next attempt to acquire a lease."""
        sleep(uniform(*LEASE_RETRY_DELAY_RANGE_MS) / 1000)

    def _request_lease(self, request):
        """Return whether the coordinator of the engine has granted the lease.

        If a coordinator is unreachable, the next one is asked. This router decides
        if it is next, or if no coordinator is reachable.
        """
        for member in self._coordinators(request.engine):
            if member.vm == self._vm:
                break
            try:
                return self._peers.call(
                    member.peer_address,
                    "suspect_turn",
                    request,
                    LeaseAnswer,
                    PEER_TIMEOUT_MS,
                ).granted
            except PeerUnavailable:
                self._counters.add("retry.suspect_turn")
        return self._lease_table.handle(request).granted

    def _coordinators(self, engine):
        """Return the members that coordinate `engine`, by rendezvous hashing."""
        members = self._current_members()
        seed = engine.encode()
        members.sort(key=lambda member: rendezvous_score(seed, member.vm.encode()))
        return members[:MAX_COORDINATORS]

    def _current_members(self):
        members = self._get_members()
        return list(members.members_by_vm.values()) if members is not None else []

    def _record_report(self, report):
        expiries, duration_ms = self._expiry_by_suspect, SUSPICION_DURATION_MS
        if report.is_quarantine:
            expiries, duration_ms = self._expiry_by_quarantined, QUARANTINE_DURATION_MS
        now = self._clock.now()
        if len(expiries) > PURGE_THRESHOLD_COUNT:
            for fingerprint in [key for key, end in expiries.items() if end <= now]:
                del expiries[fingerprint]
        for fingerprint in report.fingerprints:
            expiries[fingerprint] = now + duration_ms
        for suspect in report.prefixes:
            self._prefixes.apply(suspect)
        return SuspectReportAnswer()

    def _broadcast_batch(self):
        """Report the suspects that are recorded within REPORT_BATCH_DELAY_MS."""
        sleep(REPORT_BATCH_DELAY_MS / 1000)
        self._broadcast_unreported()

    def _broadcast_unreported(self):
        fingerprints, self._unreported_fingerprints = self._unreported_fingerprints, []
        prefixes, self._unreported_prefixes = self._unreported_prefixes, []
        if fingerprints or prefixes:
            self._broadcast(SuspectReport(fingerprints, False, prefixes))

    def _broadcast(self, report):
        """Send a report to all other routers and wait for their answers."""
        pool = GreenPool(MAX_CONCURRENT_REPORTS)
        for member in self._current_members():
            if member.vm != self._vm:
                pool.spawn_n(self._send_report, member.peer_address, report)
        pool.waitall()

    def _send_report(self, address, report):
        if not self._try_report(address, report):
            spawn_n(self._retry_report, address, report)

    def _retry_report(self, address, report):
        for _ in range(MAX_REPORT_RETRIES):
            sleep(REPORT_RETRY_DELAY_MS / 1000)
            if self._try_report(address, report):
                return

    def _try_report(self, address, report):
        """Return whether the router at `address` acknowledged the report."""
        try:
            self._peers.call(
                address, "suspect_report", report, SuspectReportAnswer, PEER_TIMEOUT_MS
            )
        except PeerUnavailable:
            self._counters.add("suspects.report_failed")
            return False
        return True
