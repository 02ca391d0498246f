"""Permits for requests to upstreams that limit the requests/s of all routers."""
