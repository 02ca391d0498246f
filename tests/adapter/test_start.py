"""What a router's start costs, as it is time without service after each kill."""

from benchmarks.start import measure, times_by_module

MEMORY = 30 * 1024  # KiB, which the operators ask of a whole instance on a calm day
NOT_NEEDED = ("dns", "docutils", "defopt", "pygments", "sphinxcontrib", "grpc")


def test_the_imports_of_a_router_leave_room_in_small_vms():
    _, memory = measure()
    assert memory < MEMORY


def test_a_router_imports_nothing_that_only_people_need():
    packages = {name.split(".")[0] for name in times_by_module()}
    assert packages.isdisjoint(NOT_NEEDED)
