"""The process helpers of the benchmarks, for use in tests."""

from benchmarks.processes import Fleet, Process

__all__ = ["Fleet", "Process"]
