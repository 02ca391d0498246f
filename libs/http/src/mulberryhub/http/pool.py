"""Pool of idle keep-alive connections to upstreams."""

from collections import defaultdict

from mulberryhub.http.messages import ConnectionFailed, ConnectionRefused
from mulberryhub.http.outbound import OutboundConnection
from mulberryhub.http.sockets import USER_TIMEOUT_MS

MAX_IDLE_MS = 10_000  # where the upstream announces no keep-alive timeout
# Share of the announced keep-alive timeout for which a connection is reused, so that
# a request does not cross with the upstream's close.
KEEP_ALIVE_SHARE = 0.5
MAX_IDLE_CONNECTION_COUNT = 64  # per address


class ConnectionPool:
    """Idle connections by address, most recently used first.

    Data that stays unacknowledged for `user_timeout` ms fails its connection.
    """

    __slots__ = ("_clock", "_user_timeout", "_idle_by_address")

    def __init__(self, clock, user_timeout=USER_TIMEOUT_MS):
        self._clock = clock
        self._user_timeout = user_timeout
        self._idle_by_address = defaultdict(list)

    def take_idle(self, address, max_idle=MAX_IDLE_MS):
        """Return a connection that was idle for at most `max_idle` ms, or None."""
        idle = self._idle_by_address[address]
        now = self._clock.now()
        while idle:
            connection = idle.pop()
            limit = min(max_idle, MAX_IDLE_MS)
            if connection.keep_alive_timeout_ms is not None:
                limit = min(limit, connection.keep_alive_timeout_ms * KEEP_ALIVE_SHARE)
            if now - connection.idle_since <= limit and connection.is_usable():
                return connection
            connection.close()
        return None

    def open(self, address, timeout):
        """Return a connection made within `timeout` ms or raise ConnectionFailed."""
        return OutboundConnection.open(
            address, timeout, self._clock, self._user_timeout
        )

    def probe_refused(self, address, timeout):
        """Connect within `timeout` ms and return whether the connection was refused.

        A connection that succeeds is added to the pool.
        """
        try:
            connection = self.open(address, timeout)
        except ConnectionRefused:
            return True
        except ConnectionFailed:
            return False
        connection.idle_since = self._clock.now()
        self._add_idle(connection)
        return False

    def release(self, connection):
        """Return a connection to the pool, or close it if it cannot be reused."""
        if connection.prepare_for_reuse(self._clock.now()):
            self._add_idle(connection)
        else:
            connection.close()

    def _add_idle(self, connection):
        idle = self._idle_by_address[connection.address]
        if len(idle) < MAX_IDLE_CONNECTION_COUNT:
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, address):
        """Close the idle connections to `address`."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close_expired(self):
        """Close the connections that have been idle for longer than MAX_IDLE_MS."""
        now = self._clock.now()
        for address, idle in list(self._idle_by_address.items()):
            kept = [item for item in idle if now - item.idle_since <= MAX_IDLE_MS]
            for connection in idle:
                if now - connection.idle_since > MAX_IDLE_MS:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]
