"""Names and gRPC options that both ends of a connection between routers share."""

SERVICE = "mulberryhub.Peer"
MAX_MESSAGE = 64 * 1024 * 1024  # bytes
KEEPALIVE_INTERVAL = 10_000  # ms
KEEPALIVE_TIMEOUT = 3_000  # ms
FIRST_RECONNECT_DELAY = 100  # ms
LAST_RECONNECT_DELAY = 2_000  # ms

COMMON_OPTIONS = (
    ("grpc.max_send_message_length", MAX_MESSAGE),
    ("grpc.max_receive_message_length", MAX_MESSAGE),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT),
)
CLIENT_OPTIONS = (
    *COMMON_OPTIONS,
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", FIRST_RECONNECT_DELAY),
    ("grpc.min_reconnect_backoff_ms", FIRST_RECONNECT_DELAY),
    ("grpc.max_reconnect_backoff_ms", LAST_RECONNECT_DELAY),
)
SERVER_OPTIONS = (
    *COMMON_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_INTERVAL // 2),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_INTERVAL // 2),
)


def method_path(method):
    """Return the gRPC path of `method`."""
    return f"/{SERVICE}/{method}"
