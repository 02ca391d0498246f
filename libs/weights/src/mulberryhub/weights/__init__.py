"""Rollout of new model weights, ordered by one router at a time under a lease."""
