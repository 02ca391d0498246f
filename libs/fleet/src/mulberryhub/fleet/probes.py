"""Finds out whether routers answer, without following them."""

from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task
from mulberryhub.fleet.channel import Channel, ChannelError, QuotaGrant, QuotaRequest

ANSWER_TIMEOUT_MS = 1_000  # after which a connected member counts as unreachable
MAX_PROBE_COUNT = 16  # connections at a time
SEARCH_INTERVAL_MS = 300  # between two selections of the members to probe
MIN_FAILED_COUNT = 2  # members followed in vain before others are probed in advance

log = module_logger(__name__)


class Probe:
    """Asks `member` to lend of no workspace, which each router answers.

    `coordinator` is the name of the member once it has answered, before that "".
    """

    __slots__ = ("member", "opened_at", "ended", "coordinator")

    def __init__(self, member, clock):
        self.member = member
        self.opened_at = clock.now()
        self.ended = False
        self.coordinator = ""

    def start(self):
        """Ask in the background; `ended` is set when the probe is over."""
        spawn_task(self._run)

    def close(self):
        """End the probe; its connection is closed once its call returns."""
        self.ended = True

    def _run(self):
        try:
            channel = Channel.open(self.member.address)
            try:
                channel.send(QuotaRequest(0, "", 0))
                if isinstance(channel.receive(ANSWER_TIMEOUT_MS), QuotaGrant):
                    self.coordinator = self.member.name
            finally:
                channel.close()
        except ChannelError as error:
            log.debug("no answer", member=self.member.name, reason=str(error))
        finally:
            self.close()


class Prober:
    """Probes members that may be unreachable; `open(member)` returns a Probe.

    The results are recorded in `reachability`.
    """

    __slots__ = ("_open", "_reachability", "_clock", "_probes_by_name", "_searched_at")

    def __init__(self, open, reachability, clock):
        self._open = open
        self._reachability = reachability
        self._clock = clock
        self._probes_by_name = {}
        self._searched_at = 0

    def step(self, find_candidates):
        """Record results, and start probes of the candidates that are due.

        `find_candidates()` returns them by data centre. Those that never failed are
        probed only after others were followed in vain, more of them with each one.
        """
        self._record_results()
        now = self._clock.now()
        if now - self._searched_at < SEARCH_INTERVAL_MS:
            return
        self._searched_at = now
        for data_centre, members in find_candidates().items():
            width = self._search_width(data_centre)
            self._start(self._untried(members)[:width] if width else [])
            self._start(self._failed(members))

    def _untried(self, members):
        reachability = self._reachability
        return [
            member
            for member in members
            if member.name not in self._probes_by_name
            and not reachability.is_unreachable(member)
        ]

    def _failed(self, members):
        """Return the members that failed and are due, the most urgent first."""
        reachability = self._reachability
        due = [
            member
            for member in members
            if reachability.is_unreachable(member)
            and reachability.is_due(member)
            and member.name not in self._probes_by_name
        ]
        return sorted(due, key=reachability.urgency)

    def _search_width(self, data_centre):
        failed_count = self._reachability.failed_in_turn(data_centre)
        if failed_count < MIN_FAILED_COUNT:
            return 0
        return min(2 ** min(failed_count, MAX_PROBE_COUNT), MAX_PROBE_COUNT)

    def _start(self, members):
        for member in members[: MAX_PROBE_COUNT - len(self._probes_by_name)]:
            probe = self._probes_by_name[member.name] = self._open(member)
            probe.start()

    def _record_results(self):
        for name, probe in list(self._probes_by_name.items()):
            if probe.coordinator:
                self._reachability.record_answer(probe.member)
                probe.close()
            elif probe.ended:
                self._reachability.record_failure(
                    probe.member, probe.opened_at, is_probe=True
                )
            if probe.ended:
                del self._probes_by_name[name]
