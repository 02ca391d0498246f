"""Composition of a router that runs on a platform: its parts, start and stop."""
