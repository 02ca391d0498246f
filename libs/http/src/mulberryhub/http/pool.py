"""Kept connections to upstreams."""

from collections import defaultdict

from mulberryhub.http.messages import ConnectFailed, ConnectRefused
from mulberryhub.http.outbound import OutboundConnection

IDLE_TIME = 10_000  # ms for which a connection is kept where the upstream tells nothing
IDLE_SHARE = 0.5  # of the time that the upstream tells, so that closes do not cross
MAX_IDLE = 64  # connections for each address


class Pool:
    """Idle connections by address, the last used first."""

    __slots__ = ("_clock", "_idle_by_address")

    def __init__(self, clock):
        self._clock = clock
        self._idle_by_address = defaultdict(list)

    def take_idle(self, address, max_idle=IDLE_TIME):
        """Return a connection that was idle for `max_idle` ms at most, or None."""
        idle = self._idle_by_address[address]
        now = self._clock.now()
        while idle:
            connection = idle.pop()
            limit = min(max_idle, IDLE_TIME)
            if connection.idle_limit is not None:
                limit = min(limit, connection.idle_limit * IDLE_SHARE)
            if now - connection.idle_since <= limit and connection.is_quiet():
                return connection
            connection.close()
        return None

    def open(self, address, timeout):
        """Return a new connection or raise ConnectFailed."""
        return OutboundConnection.open(address, timeout, self._clock)

    def is_refused(self, address, timeout):
        """Dial and tell whether nobody listens; what connects is kept for later."""
        try:
            connection = self.open(address, timeout)
        except ConnectRefused:
            return True
        except ConnectFailed:
            return False
        connection.idle_since = self._clock.now()
        self._keep(connection)
        return False

    def give_back(self, connection):
        """Keep a connection whose answer was read whole, if it can be used again."""
        if connection.release(self._clock.now()):
            self._keep(connection)
        else:
            connection.close()

    def _keep(self, connection):
        idle = self._idle_by_address[connection.address]
        if len(idle) < MAX_IDLE:
            idle.append(connection)
        else:
            connection.close()

    def forget(self, address):
        """Close the idle connections to `address`."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close_expired(self):
        """Close connections that are not worth keeping any more."""
        now = self._clock.now()
        for address, idle in list(self._idle_by_address.items()):
            kept = [item for item in idle if now - item.idle_since <= IDLE_TIME]
            for connection in idle:
                if now - connection.idle_since > IDLE_TIME:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]
