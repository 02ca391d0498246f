"""JSON format of the chunks of an engine's streamed completions."""

import msgspec


class Delta(msgspec.Struct):
    """Incremental part of a chat message."""

    content: str = ""


class Choice(msgspec.Struct):
    """Incremental choice: `delta` in chat completions, `text` in text completions."""

    delta: Delta | None = None
    text: str = ""
    finish_reason: str | None = None


class PromptTokensDetails(msgspec.Struct):
    """Breakdown of the prompt tokens in the usage."""

    cached_tokens: int = 0


class CompletionUsage(msgspec.Struct):
    """Token usage in the JSON format of the engines."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptTokensDetails = msgspec.field(
        default_factory=PromptTokensDetails
    )


class CompletionChunk(msgspec.Struct):
    """One chunk of a streamed completion, in the JSON format of the engines."""

    id: str
    choices: list[Choice]
    usage: CompletionUsage | None = None


decode_chunk = msgspec.json.Decoder(CompletionChunk).decode
