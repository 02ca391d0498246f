"""The router daemon: composition root, startup and graceful shutdown."""
