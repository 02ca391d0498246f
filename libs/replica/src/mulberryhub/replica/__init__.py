"""Replication of the configuration and of the router membership."""
