"""Settings of a process and the inventory of a fleet."""
