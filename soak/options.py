"""The options of a soak run and their validation."""

from mulberryhub.base.findings import Findings

MAX_ROUTER_COUNT = 100
MAX_DURATION_S = 3_600


class Options:
    """The options of one run.

    `seed` determines the plan, `seconds` is the length of the run, `routers` and
    `clients` are counts. Logs are written to `folder`, or to a new temporary folder
    if it is None.
    """

    __slots__ = ("seed", "seconds", "routers", "clients", "folder")

    def __init__(self, seed, seconds=20, routers=3, clients=9, folder=None):
        self.seed = seed
        self.seconds = seconds
        self.routers = routers
        self.clients = clients
        self.folder = folder

    def findings(self):
        """Return a finding for each option that is out of range."""
        findings = Findings()
        if not 5 <= self.seconds <= MAX_DURATION_S:
            findings.error("$.seconds", f"must be between 5 and {MAX_DURATION_S}")
        if not 1 <= self.routers <= MAX_ROUTER_COUNT:
            findings.error("$.routers", f"must be between 1 and {MAX_ROUTER_COUNT}")
        if self.clients < 1:
            findings.error("$.clients", "must be at least 1")
        return findings.items
