"""Turns of green threads that have much to do, so that others run in between."""

from collections import deque
from time import thread_time

from mulberryhub.base.green import Event, sleep
from mulberryhub.base.tasks import spawn_task

MAX_RUN_S = 0.002  # processor time without a turn, and in one turn
RUN_SHARE = 0.01  # of the time for which a thread waits, added to what it may run
S_PER_MS = 0.001


class RunTime:
    """The processor time that a green thread may still use before it needs a turn.

    It grows slowly while the thread waits, so that many threads that wait and run in
    short alternation need turns too. Processor time leaves out the time for which
    other processes keep this one from running.
    """

    __slots__ = ("_until", "_left")

    def __init__(self):
        self.restart()

    def restart(self):
        """Allow MAX_RUN_S from now on."""
        self._until = thread_time() + MAX_RUN_S
        self._left = 0

    def begin_wait(self):
        """Stop counting, as other green threads may run from now on."""
        self._left = self._until - thread_time()

    def end_wait(self, duration):
        """Count again after a wait of `duration` ms."""
        left = min(MAX_RUN_S, self._left + RUN_SHARE * S_PER_MS * duration)
        self._until = thread_time() + left

    def is_used_up(self):
        """Return whether the thread needs a turn."""
        return thread_time() >= self._until


class Turns:
    """Lets one green thread after the other run, one in each cycle of the hub.

    Threads that merely yield all run in the same cycle, and the others wait for them
    all.
    """

    __slots__ = ("_waiting", "_is_running")

    def __init__(self):
        self._waiting = deque()
        self._is_running = False

    def wait(self):
        """Return once it is the turn of the calling green thread."""
        turn = Event()
        self._waiting.append(turn)
        if not self._is_running:
            self._is_running = True
            spawn_task(self._run)
        try:
            turn.wait()
        except BaseException:
            if not turn.ready():
                self._waiting.remove(turn)
            raise

    def _run(self):
        while self._waiting:
            self._waiting.popleft().send()
            sleep(0)
        self._is_running = False


# Of all threads that read responses of this process.
read_turns = Turns()
