"""Accept loop of a listening socket."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task

ACCEPT_RETRY_DELAY_MS = 50  # after a failed accept, e.g. out of file descriptors

log = module_logger(__name__)


def run_accept_loop(listener, handle_socket):
    """Run `handle_socket(sock)` in a green thread per connection.

    Returns once the listening socket is closed. Any other error of accept is logged
    and accepting is retried after ACCEPT_RETRY_DELAY_MS.
    """
    while True:
        try:
            sock, _ = listener.accept()
        except (OSError, EOFError) as error:
            if listener.fileno() < 0:
                return
            log.warning("accept failed", error=str(error))
            sleep(ACCEPT_RETRY_DELAY_MS / 1000)
            continue
        spawn_task(handle_socket, sock)
