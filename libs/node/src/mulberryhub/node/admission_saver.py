"""Saves what workspaces used that ask for more than their rate.

They use up their limit in a part of the window. Routers that start after all others
were killed assume that a limit was used evenly over the window, unless it is saved.
"""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import error_text, module_logger
from mulberryhub.base.tasks import spawn_service
from mulberryhub.fleet.admissions import SlotSums, to_admitted
from mulberryhub.fleet.records import SavedAdmissions
from mulberryhub.fleet.store import StoreUnavailable

CHECK_INTERVAL_MS = 200
SAVE_INTERVAL_MS = 500  # while a workspace asks for more than its rate
# Of its rate, from which the demand of a workspace is saved. Demand varies by about a
# quarter from one second to the next.
FAST_SHARE = 1.25

log = module_logger(__name__)


class AdmissionSaver:
    """Saves the admissions of all routers, if this router coordinates them.

    `name` is that of this router. `is_coordinator()` returns whether it coordinates the
    others, and `read_demand()` the demand per s at all routers, by workspace.
    `read_earlier(workspace)` returns the Periods of before all of them started. Nothing
    is written while no workspace asks for more than its rate.
    """

    __slots__ = (
        "_name",
        "_fleet_state",
        "_usage_table",
        "_read_demand",
        "_read_earlier",
        "_store",
        "_is_coordinator",
        "_clock",
        "_saved_names",
        "_saved_at",
    )

    def __init__(
        self,
        name,
        fleet_state,
        usage_table,
        read_demand,
        read_earlier,
        store,
        is_coordinator,
        clock,
    ):
        self._name = name
        self._fleet_state = fleet_state
        self._usage_table = usage_table
        self._read_demand = read_demand
        self._read_earlier = read_earlier
        self._store = store
        self._is_coordinator = is_coordinator
        self._clock = clock
        self._saved_names = set()
        self._saved_at = None

    def start(self):
        """Start saving in the background."""
        spawn_service(self._run)

    def step(self):
        """Save what is due; raise StoreUnavailable.

        The end of a workspace's demand is saved too, so that it is not taken to go on.
        """
        if not self._is_coordinator():
            return
        now = self._clock.now()
        if self._saved_at is not None and now - self._saved_at < SAVE_INTERVAL_MS:
            return
        demand = self._read_demand()
        workspaces = self._due_workspaces(demand)
        if not workspaces:
            return
        rates = {item.name: demand.get(item.name, 0) for item in workspaces}
        self._saved_at = now
        self._store.put_record(
            SavedAdmissions(
                self._name, self._clock.wall(), self._used(workspaces), rates
            )
        )
        self._saved_names = {item.name for item in workspaces if _is_fast(item, demand)}

    def _due_workspaces(self, demand):
        configuration = self._fleet_state.configuration
        if configuration is None:
            return []
        return [
            workspace
            for workspace in configuration.workspaces
            if _is_fast(workspace, demand) or workspace.name in self._saved_names
        ]

    def _used(self, workspaces):
        """Return what all routers admitted in the window, as Admitted."""
        now = self._clock.now()
        self._usage_table.sum_local()
        sums = SlotSums()
        for known in self._usage_table.admitted_by_data_centre().values():
            for workspace in workspaces:
                sums.add(known.of(workspace.name), now)
        for workspace in workspaces:
            for period in self._read_earlier(workspace):
                sums.add_period(workspace.name, period)
        return to_admitted(sums.by_workspace, now)

    def _run(self):
        while True:
            try:
                self.step()
            except StoreUnavailable as error:
                log.warning("admissions not saved", reason=error_text(error))
            sleep(CHECK_INTERVAL_MS / 1000)


def _is_fast(workspace, demand):
    rate = workspace.rate
    return bool(rate) and demand.get(workspace.name, 0) > FAST_SHARE * rate
