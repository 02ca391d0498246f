"""What a router knows of the fleet: configuration, upstreams, members, use."""
