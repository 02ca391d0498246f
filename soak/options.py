"""Options of a soak run, checked together."""

from mulberryhub.base.findings import Findings

MOST_ROUTERS = 100
LONGEST = 3_600  # s


class Options:
    """Seed, length in s and sizes of a run, and the folder for logs or None."""

    __slots__ = ("seed", "seconds", "routers", "clients", "folder")

    def __init__(self, seed, seconds=20, routers=3, clients=9, folder=None):
        self.seed = seed
        self.seconds = seconds
        self.routers = routers
        self.clients = clients
        self.folder = folder

    def findings(self):
        """Return what makes the options unusable."""
        findings = Findings()
        if not 5 <= self.seconds <= LONGEST:
            findings.error("$.seconds", f"must be between 5 and {LONGEST}")
        if not 1 <= self.routers <= MOST_ROUTERS:
            findings.error("$.routers", f"must be between 1 and {MOST_ROUTERS}")
        if self.clients < 1:
            findings.error("$.clients", "must be at least 1")
        return findings.items
