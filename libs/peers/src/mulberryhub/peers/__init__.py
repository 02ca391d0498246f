"""Messages between routers over gRPC."""
