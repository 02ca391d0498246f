"""Rejects requests early when no engine is expected to answer in time."""

from mulberryhub.base.errors import ApiError, ErrorCode

MIN_RETRY_AFTER_MS = 1_000


def refuse_if_late(decision, now, deadline):
    """Raise ApiError QUEUE_FULL if the first token is expected after `deadline`.

    `now` and `deadline` are Clock.now() times in ms. A request is accepted if its
    decision has no engine or its policy made no estimate of the first token.
    """
    if not decision.ranked_engine_ids or decision.expected_first_token_time is None:
        return
    lateness = now + decision.expected_first_token_time - deadline
    if lateness <= 0:
        return
    message = "engines are too busy to answer in time"
    raise ApiError(
        ErrorCode.QUEUE_FULL,
        message,
        retry_after=max(MIN_RETRY_AFTER_MS, int(lateness)),
    )
