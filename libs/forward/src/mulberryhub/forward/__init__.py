"""Serves opaque requests: admission, upstream selection, attempts, relay of answers."""
