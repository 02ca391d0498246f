"""Tries of one call on one engine, each on a new connection."""

from mulberryhub.upstream.errors import (
    EngineFailure,
    EngineTimeout,
    ResponseMismatch,
    StreamInterrupted,
    StreamNotFound,
)

MAX_TRIES_PER_ENGINE = 3

# Connection failures after which the engine may still be working on the request.
CONNECTION_FAILURES = (ResponseMismatch, EngineTimeout, StreamInterrupted)


def open_stream(client, upstream, engine_request, on_sent, on_retry):
    """Return a stream opened on one engine, or raise the EngineFailure.

    `on_sent()` is called if the engine may be working on the request, and
    `on_retry(failure)` before each further try.
    """
    send = client.open
    for tries_left in reversed(range(MAX_TRIES_PER_ENGINE)):
        try:
            return send(upstream, engine_request)
        except CONNECTION_FAILURES as failure:
            on_sent()
            if not tries_left or _is_unresponsive(failure, tries_left):
                raise
            on_retry(failure)
        send = _resume_or_open(client)


def _is_unresponsive(failure, tries_left):
    """Return whether the engine was silent on a new connection as well."""
    return isinstance(failure, EngineTimeout) and tries_left < MAX_TRIES_PER_ENGINE - 1


def _resume_or_open(client):
    """Return a function that resumes the stream, or opens it if the engine lacks it."""

    def send(upstream, engine_request):
        try:
            return client.resume(upstream, engine_request)
        except StreamNotFound:
            return client.open(upstream, engine_request)

    return send


def resume_stream(client, upstream, engine_request, incarnation):
    """Return the stream, resumed on the start `incarnation` of its engine.

    Raise EngineFailure if the engine no longer has it.
    """
    stream = client.resume(upstream, engine_request)
    if stream.incarnation != incarnation:
        stream.close()
        raise StreamNotFound("the engine has restarted", stream.incarnation)
    return stream


def resume_or_failure(resume, on_retry):
    """Call `resume()` until it succeeds; return None, or the failure after all tries.

    `on_retry(failure)` is called after each failure of a connection.
    """
    failure = None
    for _ in range(MAX_TRIES_PER_ENGINE - 1):
        try:
            resume()
            return None
        except CONNECTION_FAILURES as error:
            failure = error
            on_retry(error)
        except EngineFailure as error:
            return error
    return failure
