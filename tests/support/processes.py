from benchmarks.processes import Fleet, Process

__all__ = ["Fleet", "Process"]
