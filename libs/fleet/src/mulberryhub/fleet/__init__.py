"""The router's view of the fleet: configuration, upstreams, members and usage."""
