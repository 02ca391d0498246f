"""For how long a client may take up a stream that broke off."""

STREAM_LIFETIME_MS = 20_000  # at least; clients may try again after a timeout


def stream_lifetime(configuration):
    """Return the time in ms; `configuration` may be None."""
    routes = () if configuration is None else configuration.routes
    timeouts = [route.timeout for route in routes if route.is_resumable]
    return max([STREAM_LIFETIME_MS, *timeouts])
