"""A randomized fault soak that runs real processes and checks invariants."""
