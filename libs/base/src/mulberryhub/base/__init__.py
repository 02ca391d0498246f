"""Clock, errors, findings, counters and logging that every library shares."""
