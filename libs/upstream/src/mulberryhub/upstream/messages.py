"""Messages between the gateway and the clients of engines."""

import msgspec


class Usage(msgspec.Struct, frozen=True):
    """Tokens of one request; `cached_tokens` are those of the prompt found cached."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Token(msgspec.Struct, frozen=True):
    """One token of an answer with its index, from 0."""

    index: int
    text: str


class End(msgspec.Struct, frozen=True):
    """The explicit end of an answer."""

    finish_reason: str
    usage: Usage


class EngineCall(msgspec.Struct):
    """One request to an engine; timeouts are in ms.

    `body` is the caller's JSON object and `chat` tells which of the two completions
    interfaces it is for. `text` and `tokens` are what was already delivered, for an
    answer that goes on elsewhere. `request_id` must be unique over all callers.
    `idle_timeout` is the longest silence on a connection, before the first token too.
    """

    request_id: str
    body: dict
    chat: bool = True
    scope: str = ""
    model_version: str = ""
    priority: int = 0
    text: str = ""
    tokens: int = 0
    connect_timeout: int = 1_000
    first_token_timeout: int = 30_000
    idle_timeout: int = 10_000


class EngineLoad(msgspec.Struct):
    """Load of an engine as it reports it; `time` is its wall time in ms."""

    incarnation: str = ""
    time: int = 0
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    slots: int = 0
    models: dict[str, str] = {}
    cached_tokens: int = 0
