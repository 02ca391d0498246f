"""Clients of the platform's log, VM list and weight store."""
