"""New weights: which upstream loads when, by orders of one router at a time."""
