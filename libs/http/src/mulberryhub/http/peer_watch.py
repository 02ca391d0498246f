"""Tells peers that are unreachable from peers that read slowly.

TCP_USER_TIMEOUT ends a connection whose data stays unacknowledged, but Linux also
counts the time in which a peer acknowledges everything and has closed its window, as it
reads slowly. So the timeout is set only while data that was sent is not acknowledged.
It is not set at first: a process that stands still then ends no connection of a slow
reader.
"""

import struct

from mulberryhub.base.connection_state import unacknowledged_bytes
from mulberryhub.base.green import sleep, socket
from mulberryhub.base.logs import error_text, module_logger
from mulberryhub.base.tasks import spawn_service

CHECK_INTERVAL_MS = 200
NO_USER_TIMEOUT = 0
# Probes of a closed window that were not answered; a peer may leave out one answer, as
# Linux limits their rate.
MIN_UNANSWERED_PROBES = 2
# tcp_info of Linux: unanswered probes, segments that are not acknowledged, and the ms
# since data was last sent and an acknowledgement last received.
TCP_INFO = struct.Struct("=3xB20xI16xI8xI")

log = module_logger(__name__)


class PeerWatch:
    """Sets TCP_USER_TIMEOUT on sockets whose peer does not acknowledge what was sent.

    `_timeouts_by_socket` holds the timeout in ms of each socket that may have unsent or
    unacknowledged data, and `_timed_sockets` those on which it is set now.
    """

    __slots__ = ("_timeouts_by_socket", "_timed_sockets", "_is_running")

    def __init__(self):
        self._timeouts_by_socket = {}
        self._timed_sockets = set()
        self._is_running = False

    def watch(self, sock, user_timeout):
        """Watch a socket to which data is being written, until all is acknowledged.

        Unacknowledged data fails the connection after `user_timeout` ms.
        """
        self._timeouts_by_socket.setdefault(sock, user_timeout)
        if not self._is_running:
            self._is_running = True
            spawn_service(self._run)

    def _run(self):
        while self._timeouts_by_socket:
            sleep(CHECK_INTERVAL_MS / 1000)
            for sock, user_timeout in list(self._timeouts_by_socket.items()):
                self._check(sock, user_timeout)
        self._is_running = False

    def _check(self, sock, user_timeout):
        if sock.fileno() < 0:
            self._forget(sock)
            return
        try:
            is_done = not unacknowledged_bytes(sock)
            self._set_timed(sock, not is_done and _is_silent(sock), user_timeout)
        except OSError as error:
            log.debug("connection has failed", reason=error_text(error))
            is_done = True
        if is_done:
            self._forget(sock)

    def _forget(self, sock):
        del self._timeouts_by_socket[sock]
        self._timed_sockets.discard(sock)

    def _set_timed(self, sock, is_timed, user_timeout):
        if is_timed is (sock in self._timed_sockets):
            return
        value = user_timeout if is_timed else NO_USER_TIMEOUT
        sock.fd.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, value)
        if is_timed:
            self._timed_sockets.add(sock)
        else:
            self._timed_sockets.discard(sock)


def _is_silent(sock):
    """Return whether the peer leaves what reached it unacknowledged, or is gone."""
    info = sock.fd.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    unanswered_probes, unacknowledged, since_sent, since_heard = TCP_INFO.unpack(info)
    # A peer that has no memory left for data drops it, and acknowledges what it has.
    has_answered = 0 < since_sent >= since_heard
    return unanswered_probes >= MIN_UNANSWERED_PROBES or (
        unacknowledged > 0 and not has_answered
    )


# Of all connections of this process.
peer_watch = PeerWatch()


def send_all(sock, data, user_timeout, time_left):
    """Send `data` to a peer that may read slowly; raise OSError on failure.

    `time_left()` returns the ms for which the next write may wait.
    """
    rest = memoryview(data)
    while rest:
        peer_watch.watch(sock, user_timeout)
        sock.settimeout(time_left() / 1000)
        rest = rest[sock.send(rest) :]
