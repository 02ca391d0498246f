"""The process helpers of the benchmarks, for use in tests."""

from benchmarks.processes import Process, ProcessGroup

__all__ = ["ProcessGroup", "Process"]
