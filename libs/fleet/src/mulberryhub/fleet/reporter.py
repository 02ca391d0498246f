"""The reports of a subscriber to its publisher: what is due, and what was sent."""

import msgspec

from mulberryhub.base.green import Timeout
from mulberryhub.fleet.channel import Report
from mulberryhub.fleet.usage import REPORTED_SLOT_COUNT

REPORT_INTERVAL_MS = 250  # between reports without a notable change
MIN_REPORT_INTERVAL_MS = 100  # between reports while work in flight changes
WORK_CHANGE_THRESHOLD_MS = 40  # change of work in flight that is reported early
RELEASE_COUNTS_INTERVAL_MS = 400  # between reports with the outcomes of releases
MAX_UNACKED_REPORT_COUNT = 100  # kept until the publisher acknowledges them


class SentReport:
    """The content of the last report, its number and the ms at which it was sent.

    `revision` is the local revision up to which observations were sent,
    `weights_revision` that of the named weights, None before they were sent.
    """

    __slots__ = (
        "number",
        "usage",
        "rollout_order",
        "revision",
        "weights_revision",
        "sent_at",
    )

    def __init__(
        self, number, usage, rollout_order, revision, weights_revision, sent_at
    ):
        self.number = number
        self.usage = usage
        self.rollout_order = rollout_order
        self.revision = revision
        self.weights_revision = weights_revision
        self.sent_at = sent_at


class Reporter:
    """Sends reports of this router, `local_member`, to the publisher `member`.

    `answered_at` is when the publisher sent its last update, by its clock, None before
    the first that tells.
    """

    __slots__ = (
        "answered_at",
        "_member",
        "_local_member",
        "_fleet_state",
        "_usage_table",
        "_clock",
        "_last_sent",
        "_acked_number",
        "_sent_by_number",
        "_sent_counts",
        "_counts_sent_at",
    )

    def __init__(self, member, local_member, fleet_state, usage_table, clock):
        self.answered_at = None
        self._member = member
        self._local_member = local_member
        self._fleet_state = fleet_state
        self._usage_table = usage_table
        self._clock = clock
        self._last_sent = None
        self._acked_number = None
        self._sent_by_number = {}
        self._sent_counts = {}
        self._counts_sent_at = None

    def record_ack(self, number):
        """Record which report the next update includes, and drop older ones."""
        self._acked_number = number
        for older in [other for other in self._sent_by_number if other < number]:
            del self._sent_by_number[older]

    def acked_usage(self):
        """Return the Usage in the report that the last update includes, or None."""
        acked = self._sent_by_number.get(self._acked_number)
        return None if acked is None else acked.usage

    def acked_sent_at(self):
        """Return when the report was sent that the last update includes, or None."""
        acked = self._sent_by_number.get(self._acked_number)
        return None if acked is None else acked.sent_at

    def send_due(self, channel):
        """Send a report if one is due; raise ChannelError."""
        usage = self._usage_table.own()
        if self._last_sent is None or self._is_due(usage):
            self._last_sent = self._send(channel, usage)

    def wait_until_next_check(self):
        """Wait until the next check, or until there is an urgent change."""
        end = self._clock.now() + MIN_REPORT_INTERVAL_MS
        while self._clock.now() < end and not self._has_urgent_changes():
            with Timeout((end - self._clock.now()) / 1000, False):
                self._fleet_state.wait_for_change()

    def _is_due(self, usage):
        return (
            self._clock.now() - self._last_sent.sent_at >= REPORT_INTERVAL_MS
            or self._has_urgent_changes()
            or usage.work_differs(self._last_sent.usage, WORK_CHANGE_THRESHOLD_MS)
        )

    def _send(self, channel, usage):
        """Send a report, including a new rollout; return its SentReport."""
        last_sent = self._last_sent
        number = 0 if last_sent is None else last_sent.number + 1
        report = Report(number, usage)
        self._add_usage(report, usage)
        self._add_release_counts(report, usage)
        weights_revision = self._add_weights(report)
        rollout = self._fleet_state.rollout
        revision = self._fleet_state.revision
        report.observations = self._unsent_observations()
        if last_sent is None or rollout.order != last_sent.rollout_order:
            report.rollout = rollout
        sent = SentReport(
            number,
            usage,
            rollout.order,
            revision,
            weights_revision,
            report.sent_at,
        )
        channel.send(report)
        if len(self._sent_by_number) < MAX_UNACKED_REPORT_COUNT:
            self._sent_by_number[number] = sent
        return sent

    def _add_usage(self, report, usage):
        """Add all admissions to the first report, the newest ones to later ones."""
        if self._last_sent is not None:
            newest = usage.admitted.newest(REPORTED_SLOT_COUNT)
            report.use = msgspec.structs.replace(usage, admitted=newest)
            return
        report.admitted_by_data_centre = self._usage_table.admitted_by_data_centre()
        if self._member.data_centre == self._local_member.data_centre:
            report.unshared = self._usage_table.take_unshared()

    def _add_release_counts(self, report, usage):
        """Leave out the outcomes of releases if the publisher has recent ones.

        It keeps them, so `usage` gets those that it has.
        """
        now = self._clock.now()
        sent_at = self._counts_sent_at
        if sent_at is None or now - sent_at >= RELEASE_COUNTS_INTERVAL_MS:
            self._counts_sent_at = now
            self._sent_counts = usage.release_counts
        else:
            usage.release_counts = self._sent_counts
            report.use = msgspec.structs.replace(report.use, release_counts={})

    def _add_weights(self, report):
        """Add the named weights if they are due; return the revision that was sent.

        The publisher can only tell how old a report is if it answers an update.
        """
        report.sent_at = self._clock.now()
        report.answered_at = self.answered_at
        if not self._are_weights_due():
            return None if self._last_sent is None else self._last_sent.weights_revision
        report.weights = self._fleet_state.named_weights.records()
        return self._fleet_state.named_weights.revision

    def _are_weights_due(self):
        if self.answered_at is None:
            return False
        revision = self._fleet_state.named_weights.revision
        return self._last_sent is None or self._last_sent.weights_revision != revision

    def _unsent_observations(self):
        """Return the observations that the publisher does not have."""
        revision = 0 if self._last_sent is None else self._last_sent.revision
        return self._fleet_state.observations_since(revision, self._member.name)

    def _has_urgent_changes(self):
        """Return whether there is a change to report at once."""
        if self._fleet_state.rollout.order != self._last_sent.rollout_order:
            return True
        if self._are_weights_due():
            return True
        return bool(self._unsent_observations())
