"""The HTTP side that callers and operators see."""
