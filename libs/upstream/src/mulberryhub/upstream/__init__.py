"""Clients of model engines and of plain HTTP services."""
