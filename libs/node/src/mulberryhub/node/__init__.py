"""Builds a router from its settings and a platform's adapter; starts and stops it."""
