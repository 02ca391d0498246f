"""What was admitted of each workspace's rate lately, as facts about slots of time.

What was admitted in a past slot stays true whoever told it and whether it still runs.
So a history keeps the most that was ever told of each slot, and sums that lack the
routers that ended do not lower it.
"""

import msgspec

SLOT = 1_000  # ms


class Admitted(msgspec.Struct, frozen=True):
    """Amounts by workspace in slots of SLOT ms, the newest first.

    `phase` is the ms since the newest slot began, as of the telling.
    """

    phase: int = 0
    slots_by_workspace: dict[str, list[int]] = {}

    def of(self, workspace):
        """Return what was admitted of one workspace."""
        slots = self.slots_by_workspace.get(workspace)
        return Admitted(self.phase, {} if slots is None else {workspace: slots})

    def newest(self, slots):
        """Return the newest `slots` only, all where it is None."""
        if slots is None:
            return self
        newest = {
            workspace: amounts[:slots]
            for workspace, amounts in self.slots_by_workspace.items()
            if any(amounts[:slots])
        }
        return Admitted(self.phase, newest)


class SlotSums:
    """Amounts by workspace and slot, the slots numbered by one router's own clock."""

    __slots__ = ("by_workspace",)

    def __init__(self):
        self.by_workspace = {}

    def add(self, admitted, told_at):
        """Add what was told at `told_at` ms, divided over the slots that it touches."""
        newest_began = told_at - admitted.phase
        number, offset = divmod(newest_began, SLOT)
        later = offset / SLOT  # share of each slot that falls into the one after
        for workspace, amounts in admitted.slots_by_workspace.items():
            sums = self.by_workspace.setdefault(workspace, {})
            for age, amount in enumerate(amounts):
                _add(sums, number - age, amount * (1 - later))
                if later:
                    _add(sums, number - age + 1, amount * later)


class AdmittedHistory:
    """The most that was told of each slot in the last `window` ms."""

    __slots__ = ("_window", "_clock", "_amounts_by_workspace")

    def __init__(self, window, clock):
        self._window = window
        self._clock = clock
        self._amounts_by_workspace = {}

    def note(self, admitted, told_at=None):
        """Take what was told of a group of routers, now or at `told_at` ms."""
        sums = SlotSums()
        sums.add(admitted, self._clock.now() if told_at is None else told_at)
        self.note_sums(sums)

    def note_sums(self, sums):
        """Take SlotSums of a group of routers."""
        oldest = self._oldest()
        for workspace, told in sums.by_workspace.items():
            known = self._amounts_by_workspace.setdefault(workspace, {})
            for number, amount in told.items():
                if number >= oldest and amount > known.get(number, 0):
                    known[number] = amount

    def total(self, workspace):
        """Return what was admitted of one workspace in the window."""
        return window_total(self._known(workspace), self._clock.now(), self._window)

    def admitted(self):
        """Return all that is known, to be told to others."""
        newest, phase = divmod(self._clock.now(), SLOT)
        # A slot that began elsewhere just before this one's end reaches into the next.
        newest += 1
        slots = {}
        for workspace in list(self._amounts_by_workspace):
            known = self._known(workspace)
            if known:
                oldest = min(known)
                amounts = (known.get(n, 0) for n in range(newest, oldest - 1, -1))
                slots[workspace] = [round(amount) for amount in amounts]
        return Admitted(phase - SLOT, slots)

    def _known(self, workspace):
        """Return the amounts by slot of one workspace, without those that are over."""
        known = self._amounts_by_workspace.get(workspace)
        if known is None:
            return {}
        oldest = self._oldest()
        for number in [number for number in known if number < oldest]:
            del known[number]
        if not known:
            del self._amounts_by_workspace[workspace]
        return known

    def _oldest(self):
        return (self._clock.now() - self._window) // SLOT


def window_total(amounts_by_slot, now, window):
    """Return the sum over the last `window` ms; the oldest slot counts in part."""
    start = now - window
    total = 0
    for number, amount in amounts_by_slot.items():
        began = number * SLOT
        if began >= start:
            total += amount
        elif began + SLOT > start:
            total += amount * (began + SLOT - start) / SLOT
    return total


def _add(sums, number, amount):
    if amount:
        sums[number] = sums.get(number, 0) + amount
