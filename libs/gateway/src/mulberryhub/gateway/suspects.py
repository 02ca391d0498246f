"""Requests that may have crashed an engine, known to all routers.

A crash makes suspects of all requests that the engine ran. A suspect runs again only
in its turn, as the one suspect on its engine; an engine that crashes under it has
been crashed by it, and the request is refused everywhere for a while.
"""

from random import uniform

import msgspec

from mulberryhub.base.digest import placement_score
from mulberryhub.base.green import GreenPool, sleep, spawn_n
from mulberryhub.base.logs import module_logger
from mulberryhub.peers.client import PeerUnavailable

SUSPICION_TIME = 60_000  # ms
QUARANTINE_TIME = 600_000  # ms
SUSPECTS_KEPT = 10_000
TURN_TIME = 60_000  # ms
PEER_TIMEOUT = 500  # ms
GATHERING = 20  # ms
SENDERS = 16
PAUSE = (50, 150)  # ms
COORDINATORS_TRIED = 3

log = module_logger(__name__)


class Report(msgspec.Struct):
    """Fingerprints of requests that are suspect or, from now on, quarantined."""

    fingerprints: list[str]
    is_quarantine: bool


class ReportAnswer(msgspec.Struct):
    """Tells that a report was taken in."""


class TurnRequest(msgspec.Struct):
    """Asks for the turn to run a suspect on `engine`, or gives it back."""

    engine: str
    holder: str
    is_release: bool = False


class TurnAnswer(msgspec.Struct):
    """Tells whether the turn is the holder's."""

    granted: bool


class Turn(msgspec.Struct):
    """Who runs a suspect on an engine, until when in ms."""

    holder: str
    until: int


class TurnTable:
    """The turns that this router coordinates, by engine."""

    __slots__ = ("_turns_by_engine", "_clock")

    def __init__(self, clock):
        self._turns_by_engine = {}
        self._clock = clock

    def handle(self, request):
        """Answer a TurnRequest."""
        turn = self._turns_by_engine.get(request.engine)
        now = self._clock.now()
        is_free = turn is None or turn.holder == request.holder or turn.until <= now
        if request.is_release:
            if turn is not None and turn.holder == request.holder:
                del self._turns_by_engine[request.engine]
            return TurnAnswer(False)
        if is_free:
            until = now + TURN_TIME
            self._turns_by_engine[request.engine] = Turn(request.holder, until)
        return TurnAnswer(is_free)


class Suspects:
    """Suspect and quarantined requests by fingerprint, with the turns to run them.

    `members()` returns the Members or None; without them, turns and reports stay
    on this router.
    """

    __slots__ = (
        "_vm",
        "_members",
        "_peers",
        "_counters",
        "_clock",
        "_turns",
        "_engines_in_use",
        "_ends_by_suspect",
        "_ends_by_quarantined",
        "_unsent",
    )

    def __init__(self, vm, members, peers, peer_server, counters, clock):
        self._vm = vm
        self._members = members
        self._peers = peers
        self._counters = counters
        self._clock = clock
        self._turns = TurnTable(clock)
        self._engines_in_use = set()
        self._ends_by_suspect = {}
        self._ends_by_quarantined = {}
        self._unsent = []
        peer_server.serve("suspect_report", Report, self._take)
        peer_server.serve("suspect_turn", TurnRequest, self._turns.handle)

    def is_suspect(self, fingerprint):
        """Return whether the request may run only in its turn."""
        return self._is_in(self._ends_by_suspect, fingerprint)

    def is_quarantined(self, fingerprint):
        """Return whether the request is refused."""
        return self._is_in(self._ends_by_quarantined, fingerprint)

    def _is_in(self, ends, fingerprint):
        return ends.get(fingerprint, 0) > self._clock.now()

    def crashed(self, fingerprint, alone):
        """Note that an engine crashed while it ran the request.

        `alone` tells whether it ran as the one suspect there: then the request is
        quarantined, and all reachable routers know it when this returns.
        """
        if alone:
            log.warning("request {} crashed a second engine", fingerprint)
            self._counters.add("suspects.quarantined")
            report = Report([fingerprint], True)
            self._take(report)
            self._broadcast(report)
            return
        self._counters.add("suspects.noted")
        self._take(Report([fingerprint], False))
        self._unsent.append(fingerprint)
        if len(self._unsent) == 1:
            spawn_n(self._send_soon)

    def cleared(self, fingerprint):
        """Note that a suspect ran past the point where it was at the crash."""
        if self._ends_by_suspect.pop(fingerprint, None) is not None:
            self._counters.add("suspects.cleared")

    def acquire(self, engine, holder):
        """Return whether `holder` may run a suspect on `engine` now."""
        if engine in self._engines_in_use:
            return False
        self._engines_in_use.add(engine)
        granted = False
        try:
            granted = self._ask(TurnRequest(engine, holder))
        finally:
            if not granted:
                self._engines_in_use.discard(engine)
        return granted

    def release(self, engine, holder):
        """Give a turn back without waiting."""
        spawn_n(self._release, TurnRequest(engine, holder, is_release=True))

    def _release(self, request):
        self._ask(request)
        self._engines_in_use.discard(request.engine)

    def pause(self):
        """Wait a moment before turns are asked for again."""
        sleep(uniform(*PAUSE) / 1000)

    def _ask(self, request):
        """Ask the engine's coordinator, or the next where it cannot be reached."""
        for member in self._coordinators(request.engine):
            if member.vm == self._vm:
                break
            try:
                return self._peers.call(
                    member.peer_address,
                    "suspect_turn",
                    request,
                    TurnAnswer,
                    PEER_TIMEOUT,
                ).granted
            except PeerUnavailable:
                self._counters.add("retry.suspect_turn")
        return self._turns.handle(request).granted

    def _coordinators(self, engine):
        members = self._current_members()
        seed = engine.encode()
        members.sort(key=lambda member: placement_score(seed, member.vm.encode()))
        return members[:COORDINATORS_TRIED]

    def _current_members(self):
        members = self._members()
        return list(members.members_by_vm.values()) if members is not None else []

    def _take(self, report):
        ends, duration = self._ends_by_suspect, SUSPICION_TIME
        if report.is_quarantine:
            ends, duration = self._ends_by_quarantined, QUARANTINE_TIME
        now = self._clock.now()
        if len(ends) > SUSPECTS_KEPT:
            for fingerprint in [key for key, end in ends.items() if end <= now]:
                del ends[fingerprint]
        for fingerprint in report.fingerprints:
            ends[fingerprint] = now + duration
        return ReportAnswer()

    def _send_soon(self):
        sleep(GATHERING / 1000)
        fingerprints, self._unsent = self._unsent, []
        self._broadcast(Report(fingerprints, False))

    def _broadcast(self, report):
        """Tell all other routers and wait for their answers."""
        pool = GreenPool(SENDERS)
        for member in self._current_members():
            if member.vm != self._vm:
                pool.spawn_n(self._tell, member.peer_address, report)
        pool.waitall()

    def _tell(self, address, report):
        try:
            self._peers.call(
                address, "suspect_report", report, ReportAnswer, PEER_TIMEOUT
            )
        except PeerUnavailable:
            self._counters.add("suspects.report_failed")
