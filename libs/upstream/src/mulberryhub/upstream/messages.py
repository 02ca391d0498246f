"""Values passed between the gateway and the engine clients."""

from typing import Annotated

import msgspec

MAX_COUNT = 2**53
MAX_INCARNATION_LENGTH = 128
INCARNATION_PATTERN = f"^[!-~]{{0,{MAX_INCARNATION_LENGTH}}}$"

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class Usage(msgspec.Struct, frozen=True):
    """Token counts of one request.

    `cached_tokens` is the number of prompt tokens that were in the engine's cache.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Token(msgspec.Struct, frozen=True):
    """One token of a response with its index, counted from 0."""

    index: int
    text: str


class StreamEnd(msgspec.Struct, frozen=True):
    """The explicit end of a response, with its finish reason and usage."""

    finish_reason: str
    usage: Usage


class EngineRequest(msgspec.Struct):
    """A request to an engine; timeouts are in ms.

    `body` is the client's JSON object. `is_chat` selects the chat completions interface
    instead of the text completions one. `delivered_text` and `delivered_tokens` are the
    text and the token count already delivered, for a response that continues on another
    engine. `request_id` must be unique over all clients. Requests may share cached
    prompts if their `cache_scope` is the same. `idle_timeout` is the longest time
    without data on a connection, also before the first token, and
    `first_token_timeout` the longest one in which other data comes, but no token.
    """

    request_id: str
    body: dict
    is_chat: bool = True
    cache_scope: str = ""
    model_version: str = ""
    priority: int = 0
    delivered_text: str = ""
    delivered_tokens: int = 0
    connect_timeout: int = 1_000
    first_token_timeout: int = 30_000
    idle_timeout: int = 10_000


class EngineLoad(msgspec.Struct):
    """Load that an engine reports; `time` is the engine's wall clock in ms.

    `running` and `queued` count requests. `queued_tokens` and `cached_tokens` count
    tokens. `slots` is the number of requests that run at once. `models` maps the
    models on the engine to their versions.
    """

    incarnation: Annotated[str, msgspec.Meta(pattern=INCARNATION_PATTERN)] = ""
    time: Count = 0
    running: Count = 0
    queued: Count = 0
    queued_tokens: Count = 0
    slots: Count = 0
    models: dict[str, str] = {}
    cached_tokens: Count = 0
