"""HTTP/1.1 server and client with strict framing and connection reuse rules."""
