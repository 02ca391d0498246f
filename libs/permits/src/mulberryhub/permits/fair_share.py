"""Start-time fair queueing between flows that share one rate.

Each flow has a virtual start time, which advances with what it is granted, divided by
its weight. Of the flows that wait, the one with the earliest start is next.
"""

MAX_FLOW_COUNT = 4_096  # after which flows that wait for nothing are dropped


class FlowState:
    """The virtual start of a flow, and the time (ms) until which it waits."""

    __slots__ = ("start", "waits_until")

    def __init__(self, start):
        self.start = start
        self.waits_until = 0


class FairShare:
    """Decides which of several flows is next; flows are known by key."""

    __slots__ = ("_flows_by_key", "_virtual_time")

    def __init__(self):
        self._flows_by_key = {}
        self._virtual_time = 0.0

    def is_next(self, key, now):
        """Return whether no flow that waits at `now` (ms) starts before `key`."""
        start = self._current(key, now).start
        return all(
            start <= flow.start
            for other, flow in self._flows_by_key.items()
            if other != key and flow.waits_until > now
        )

    def record_granted(self, key, weight, count, now):
        """Record that `count` requests of a flow were granted."""
        flow = self._current(key, now)
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.start += count / weight

    def record_denied(self, key, until, now):
        """Record that a flow will ask again before `until` (ms)."""
        flow = self._current(key, now)
        flow.waits_until = max(flow.waits_until, until)

    def _current(self, key, now):
        """Return the state of a flow; one that did not wait starts at the present."""
        flow = self._flows_by_key.get(key)
        if flow is None:
            self._drop_idle(now)
            flow = self._flows_by_key[key] = FlowState(self._virtual_time)
        elif flow.waits_until <= now:
            flow.start = max(flow.start, self._virtual_time)
        return flow

    def _drop_idle(self, now):
        if len(self._flows_by_key) < MAX_FLOW_COUNT:
            return
        self._flows_by_key = {
            key: flow
            for key, flow in self._flows_by_key.items()
            if flow.waits_until > now or flow.start > self._virtual_time
        }
