"""HTTP/1.1 on both sides of the router, exact about framing and connection reuse."""
