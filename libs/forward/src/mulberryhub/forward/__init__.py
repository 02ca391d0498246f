"""Serves opaque requests: admission, placement, attempts and relay of answers."""
