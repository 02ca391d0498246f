"""RPC between routers: gRPC on native threads, handlers on green threads."""
