"""The runs of one request on engines, as far as the request may crash them."""

SUSPECT_CLEARANCE_TOKENS = 8  # new tokens after which a request is no longer a suspect


class SuspectRuns:
    """The leases that a request needs while it is a suspect, and its crashes.

    `chain` has the request's prefixes as bytes, the last one is the whole request.
    `request_id` holds the leases.
    """

    __slots__ = (
        "_suspects",
        "_request_id",
        "_fingerprint",
        "_prefixes",
        "_leased_engine_id",
        "_clearance_token_count",
    )

    def __init__(self, suspects, request_id, chain):
        self._suspects = suspects
        self._request_id = request_id
        self._fingerprint = chain[-1].hex()
        self._prefixes = [prefix.hex() for prefix in chain[:-1]]
        self._leased_engine_id = None
        self._clearance_token_count = 0

    def is_quarantined(self):
        """Return whether the request, or a prefix of it, crashes engines."""
        return self._suspects.is_quarantined(
            self._fingerprint
        ) or self._suspects.has_quarantined_prefix(self._prefixes)

    def acquire_permission(self, engine_id, token_count):
        """Return whether the request may run on an engine after `token_count` tokens.

        A suspect needs a lease, which this acquires if possible.
        """
        if not self._suspects.is_suspect(self._fingerprint):
            return True
        if not self._suspects.acquire_lease(engine_id, self._request_id):
            return False
        self._leased_engine_id = engine_id
        self._clearance_token_count = token_count + SUSPECT_CLEARANCE_TOKENS
        return True

    def release_lease(self):
        """Release the lease, if any."""
        engine_id, self._leased_engine_id = self._leased_engine_id, None
        if engine_id is not None:
            self._suspects.release_lease(engine_id, self._request_id)

    def record_output(self, token_count, is_end):
        """Record that `token_count` tokens have arrived, and whether all of them have.

        A suspect is cleared and its lease released once enough output has arrived.
        """
        if is_end:
            self._suspects.record_served(self._prefixes)
        if self._leased_engine_id is None:
            return
        if is_end or token_count >= self._clearance_token_count:
            self._suspects.clear(self._fingerprint)
            self.release_lease()

    def record_crash(self, incarnation):
        """Record that the start `incarnation` of an engine ended during the run."""
        had_lease = self._leased_engine_id is not None
        self._suspects.record_prefix_crash(
            incarnation, self._fingerprint, self._prefixes, had_lease
        )
        self._suspects.record_crash(self._fingerprint, had_lease)
