"""Leases on engines, each of which allows one suspect at a time to run there."""

import msgspec

LEASE_DURATION_MS = 60_000


class LeaseRequest(msgspec.Struct):
    """Requests or releases the lease to run a suspect on an engine.

    `holder` is the id of the request that wants to run.
    """

    engine: str
    holder: str
    is_release: bool = False


class LeaseAnswer(msgspec.Struct):
    """States whether the lease was granted to the requested holder."""

    granted: bool


class SuspectLease(msgspec.Struct):
    """Lease of a request to run on an engine; `until` is its expiry in ms."""

    holder: str
    until: int


class SuspectLeaseTable:
    """Grants leases for the engines that this router coordinates."""

    __slots__ = ("_leases_by_engine", "_clock")

    def __init__(self, clock):
        self._leases_by_engine = {}
        self._clock = clock

    def handle(self, request):
        """Return the LeaseAnswer to a LeaseRequest.

        A lease is granted if it is free or expired, and renewed for its holder.
        """
        lease = self._leases_by_engine.get(request.engine)
        now = self._clock.now()
        is_free = lease is None or lease.holder == request.holder or lease.until <= now
        if request.is_release:
            if lease is not None and lease.holder == request.holder:
                del self._leases_by_engine[request.engine]
            return LeaseAnswer(False)
        if is_free:
            until = now + LEASE_DURATION_MS
            self._leases_by_engine[request.engine] = SuspectLease(request.holder, until)
        return LeaseAnswer(is_free)
