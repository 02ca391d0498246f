"""The daemon: composition root, start and stop."""
