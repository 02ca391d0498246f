"""Calls that run at most once and orders to engines."""
