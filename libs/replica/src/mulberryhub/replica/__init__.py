"""The replicated configuration and what routers learn from each other."""
