"""Cost of a router's imports, which delay its return to service after a crash."""

from benchmarks.start import import_times_by_module, measure_imports

MAX_MEMORY_KIB = 30 * 1024  # operators' limit for a whole idle instance
UNNEEDED_PACKAGES = ("dns", "docutils", "defopt", "pygments", "sphinxcontrib", "grpc")


def test_imports_stay_within_memory_limit():
    _, memory_kib = measure_imports()
    assert memory_kib < MAX_MEMORY_KIB


def test_router_does_not_import_unneeded_packages():
    packages = {name.split(".")[0] for name in import_times_by_module()}
    assert packages.isdisjoint(UNNEEDED_PACKAGES)
