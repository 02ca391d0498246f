"""Measures routing policies side by side on a seeded workload."""
