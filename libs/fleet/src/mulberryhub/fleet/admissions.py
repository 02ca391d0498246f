"""Amounts admitted per workspace, recorded in fixed time slots.

The amount admitted in a past slot never changes, whichever router reports it and
whether the admitting router still runs. A history therefore keeps the highest amount
reported for each slot, so that sums that lack stopped routers do not lower it. What a
router admitted while it was cut off is in no sum of the others, so it is added.
"""

import msgspec

SLOT_MS = 1_000


class Admitted(msgspec.Struct, frozen=True):
    """Amounts by workspace in slots of SLOT_MS, the newest first.

    `phase` is the ms since the start of the newest slot at the time of the report.
    """

    phase: int = 0
    slots_by_workspace: dict[str, list[int]] = {}

    def of(self, workspace):
        """Return the amounts of one workspace."""
        slots = self.slots_by_workspace.get(workspace)
        return Admitted(self.phase, {} if slots is None else {workspace: slots})

    def newest(self, slots):
        """Return the newest `slots` slots, or all if `slots` is None."""
        if slots is None:
            return self
        newest = {
            workspace: amounts[:slots]
            for workspace, amounts in self.slots_by_workspace.items()
            if any(amounts[:slots])
        }
        return Admitted(self.phase, newest)

    def between(self, first, last):
        """Return the slots with the ages `first` to `last` - 1, 0 being the newest."""
        selected = {
            workspace: [0] * first + amounts[first:last]
            for workspace, amounts in self.slots_by_workspace.items()
            if any(amounts[first:last])
        }
        return Admitted(self.phase, selected)

    def slot_count(self):
        """Return the largest number of slots of a workspace."""
        return max(map(len, self.slots_by_workspace.values()), default=0)


class SlotSums:
    """Amounts by workspace and slot; slots are numbered by the local clock."""

    __slots__ = ("by_workspace",)

    def __init__(self):
        self.by_workspace = {}

    def add(self, admitted, reported_at):
        """Add amounts reported at `reported_at` ms, split over the local slots."""
        newest_start = reported_at - admitted.phase
        number, offset = divmod(newest_start, SLOT_MS)
        spill_ratio = offset / SLOT_MS  # part of each slot that falls into the next one
        for workspace, amounts in admitted.slots_by_workspace.items():
            sums = self.by_workspace.setdefault(workspace, {})
            for age, amount in enumerate(amounts):
                _accumulate(sums, number - age, amount * (1 - spill_ratio))
                if spill_ratio:
                    _accumulate(sums, number - age + 1, amount * spill_ratio)

    def add_period(self, workspace, period):
        """Add the amount of a Period, split over the local slots."""
        sums = self.by_workspace.setdefault(workspace, {})
        first, last = period.start // SLOT_MS, period.end // SLOT_MS
        for number in range(first, last + 1):
            part = period.within(number * SLOT_MS, (number + 1) * SLOT_MS)
            _accumulate(sums, number, part.amount)


def to_admitted(amounts_by_workspace, now):
    """Return amounts by workspace and slot, by the clock at `now` (ms), as Admitted."""
    newest, phase = divmod(now, SLOT_MS)
    # Another router's newest slot may extend past the end of the local one.
    newest += 1
    slots = {}
    for workspace, known in amounts_by_workspace.items():
        if known:
            oldest = min(known)
            amounts = (known.get(n, 0) for n in range(newest, oldest - 1, -1))
            slots[workspace] = [round(amount) for amount in amounts]
    return Admitted(phase - SLOT_MS, slots)


class AdmissionHistory:
    """The highest amount reported for each slot in the last `window` ms.

    Amounts that no report of the group had in its sums come on top of them.
    """

    __slots__ = ("_window", "_clock", "_amounts_by_workspace", "_added_by_workspace")

    def __init__(self, window, clock):
        self._window = window
        self._clock = clock
        self._amounts_by_workspace = {}
        self._added_by_workspace = {}

    def merge(self, admitted, reported_at=None):
        """Merge a report of a group of routers, made now or at `reported_at` ms."""
        sums = SlotSums()
        sums.add(admitted, self._clock.now() if reported_at is None else reported_at)
        self.merge_sums(sums)

    def merge_sums(self, sums):
        """Merge the SlotSums of a group of routers."""
        oldest = self._oldest_slot()
        for workspace, reported in sums.by_workspace.items():
            known = self._amounts_by_workspace.setdefault(workspace, {})
            for number, amount in reported.items():
                if number >= oldest and amount > known.get(number, 0):
                    known[number] = amount

    def add(self, admitted):
        """Add what a router admitted that was in no sum, as reported now."""
        sums = SlotSums()
        sums.add(admitted, self._clock.now())
        for workspace, amounts in sums.by_workspace.items():
            added = self._added_by_workspace.setdefault(workspace, {})
            for number, amount in amounts.items():
                _accumulate(added, number, amount)

    def total(self, workspace):
        """Return the amount admitted for one workspace in the window."""
        return window_total(
            self._current_amounts(workspace), self._clock.now(), self._window
        )

    def admitted(self):
        """Return all known amounts in the form that is sent to other routers."""
        workspaces = {*self._amounts_by_workspace, *self._added_by_workspace}
        current = {
            workspace: self._current_amounts(workspace) for workspace in workspaces
        }
        return to_admitted(current, self._clock.now())

    def _current_amounts(self, workspace):
        """Return the amounts by slot of one workspace, after dropping expired ones."""
        known = self._unexpired(self._amounts_by_workspace, workspace)
        added = self._unexpired(self._added_by_workspace, workspace)
        if not added:
            return known
        return {
            number: known.get(number, 0) + added.get(number, 0)
            for number in known.keys() | added.keys()
        }

    def _unexpired(self, amounts_by_workspace, workspace):
        amounts = amounts_by_workspace.get(workspace)
        if amounts is None:
            return {}
        oldest = self._oldest_slot()
        for number in [number for number in amounts if number < oldest]:
            del amounts[number]
        if not amounts:
            del amounts_by_workspace[workspace]
        return amounts

    def _oldest_slot(self):
        return (self._clock.now() - self._window) // SLOT_MS


def window_total(amounts_by_slot, now, window):
    """Return the sum over the last `window` ms, with part of the oldest slot."""
    start = now - window
    total = 0
    for number, amount in amounts_by_slot.items():
        slot_start = number * SLOT_MS
        if slot_start >= start:
            total += amount
        elif slot_start + SLOT_MS > start:
            total += amount * (slot_start + SLOT_MS - start) / SLOT_MS
    return total


def _accumulate(sums, number, amount):
    if amount:
        sums[number] = sums.get(number, 0) + amount
