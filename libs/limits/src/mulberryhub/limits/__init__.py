"""Token rate limits of workspaces, shared by all routers.

Each workspace has a rate and a burst for the whole fleet. Some routers, its holders,
each keep a share of them in a token bucket; a router without enough tokens borrows
them from the holders.
"""
