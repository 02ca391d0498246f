"""gRPC service name, paths and channel options for RPC between routers."""

SERVICE_NAME = "mulberryhub.Peer"
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
KEEPALIVE_INTERVAL_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 3_000
MIN_RECONNECT_DELAY_MS = 100
MAX_RECONNECT_DELAY_MS = 2_000

COMMON_OPTIONS = (
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
)
CLIENT_OPTIONS = (
    *COMMON_OPTIONS,
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", MIN_RECONNECT_DELAY_MS),
    ("grpc.min_reconnect_backoff_ms", MIN_RECONNECT_DELAY_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_DELAY_MS),
)
SERVER_OPTIONS = (
    *COMMON_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_INTERVAL_MS // 2),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_INTERVAL_MS // 2),
)


def method_path(method):
    """Return the gRPC path of the method named `method`."""
    return f"/{SERVICE_NAME}/{method}"
