"""A randomized fault soak: real programs, faults from outside, promises checked."""
