"""Refuses a request early when no engine would answer it in time."""

from mulberryhub.base.errors import Code, HubError

LEAST_RETRY = 1_000  # ms


def refuse_if_late(decision, now, deadline):
    """Raise HubError QUEUE_FULL if the first token is expected after `deadline`.

    Times are Clock.now() times in ms. A request without a weighed engine passes.
    """
    if not decision.order or decision.first_token_time is None:
        return
    late = now + decision.first_token_time - deadline
    if late <= 0:
        return
    message = "engines are too busy to answer in time"
    raise HubError(Code.QUEUE_FULL, message, retry_after=max(LEAST_RETRY, int(late)))
