"""Takes connections off a listening socket for as long as it is open."""

from mulberryhub.base.green import sleep
from mulberryhub.base.logs import module_logger
from mulberryhub.base.tasks import spawn_task

PAUSE = 50  # ms after a failed accept, such as one for lack of descriptors

log = module_logger(__name__)


def accept_all(listener, serve):
    """Call `serve(sock)` in a green thread for each connection until a close."""
    while True:
        try:
            sock, _ = listener.accept()
        except (OSError, EOFError) as error:
            if listener.fileno() < 0:
                return
            log.warning("accept failed", error=str(error))
            sleep(PAUSE / 1000)
            continue
        spawn_task(serve, sock)
