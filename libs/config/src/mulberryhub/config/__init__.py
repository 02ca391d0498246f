"""Settings of a router process, and the inventory of a fleet with its validation."""
