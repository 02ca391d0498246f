"""Times of namings by the clocks of a VM, as routers save them in the store.

The clock that counts from the boot of a VM goes on while no process runs. A router that
starts again on the same VM can therefore tell how old its saved times are, whatever the
wall clock was set to meanwhile. Times by the wall clock are saved too, for other VMs
and for a later boot.
"""

from mulberryhub.base.logs import module_logger
from mulberryhub.fleet.records import NamingTimes

# A VM that continues from a snapshot keeps its boot id, and its clock since boot does
# not count the time between. The wall clock shows that, unless it is wrong by as much.
MAX_CLOCK_DIFFERENCE_MS = 30_000

log = module_logger(__name__)


class SavedAges:
    """Ages in ms by version, as the two clocks tell them at this moment.

    `since_boot` is empty unless this router saved them after the boot of its VM.
    """

    __slots__ = ("since_boot", "by_wall")

    def __init__(self, since_boot, by_wall):
        self.since_boot = since_boot
        self.by_wall = by_wall


def naming_times(weights, router, data_centre, clock):
    """Return the NamingTimes of `weights`, which has ages."""
    now, wall = clock.now(), clock.wall()
    return NamingTimes(
        weights.model,
        {version: wall - age for version, age in weights.ages.items()},
        router,
        data_centre,
        clock.boot_id(),
        {version: now - age for version, age in weights.ages.items()},
        weights.unaged,
    )


def saved_ages(times, router, clock):
    """Return the SavedAges of NamingTimes at the router named `router`.

    A time ahead of the wall clock counts as now.
    """
    wall = clock.wall()
    by_wall = {
        version: max(0, wall - named_at)
        for version, named_at in times.named_at_by_version.items()
    }
    return SavedAges(_ages_since_boot(times, router, clock), by_wall)


def _ages_since_boot(times, router, clock):
    """Return the ages that the clock since boot tells, {} if it cannot."""
    boot_id = clock.boot_id()
    if times.router != router or not boot_id or times.boot_id != boot_id:
        return {}
    now, wall = clock.now(), clock.wall()
    ages = {}
    for version, named_at in times.uptime_by_version.items():
        age = now - named_at
        age_by_wall = wall - times.named_at_by_version.get(version, 0)
        if age < 0 or abs(age - age_by_wall) > MAX_CLOCK_DIFFERENCE_MS:
            log.warning(
                "saved times do not fit the clocks",
                model=times.model,
                version=version,
                age_ms=age,
                age_by_wall_ms=age_by_wall,
            )
            return {}
        ages[version] = age
    return ages
