"""Clocks, errors, findings, counters and logging shared by all libraries."""
