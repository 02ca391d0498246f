"""Decides from outcomes whether a new software version may serve all requests."""
