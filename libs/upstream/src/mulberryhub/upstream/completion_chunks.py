"""JSON format of the chunks of an engine's streamed completions."""

from typing import Annotated, Literal

import msgspec

MAX_TOKEN_COUNT = 10_000_000  # of a prompt or an output

TokenCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKEN_COUNT)]


class MalformedChunk(Exception):
    """The data of an event is no chunk of a completion."""


class Delta(msgspec.Struct):
    """Incremental part of a chat message."""

    content: str | None = None


class Choice(msgspec.Struct):
    """Incremental choice: `delta` in chat completions, `text` in text completions."""

    index: Literal[0] = 0
    delta: Delta | None = None
    text: str | None = None
    finish_reason: Annotated[str, msgspec.Meta(min_length=1)] | None = None


class PromptTokensDetails(msgspec.Struct):
    """Breakdown of the prompt tokens in the usage."""

    cached_tokens: TokenCount = 0


class CompletionUsage(msgspec.Struct):
    """Token usage in the JSON format of the engines."""

    prompt_tokens: TokenCount = 0
    completion_tokens: TokenCount = 0
    prompt_tokens_details: PromptTokensDetails = msgspec.field(
        default_factory=PromptTokensDetails
    )


class CompletionChunk(msgspec.Struct):
    """One chunk of a streamed completion, in the JSON format of the engines."""

    id: str
    choices: Annotated[list[Choice], msgspec.Meta(min_length=1, max_length=1)]
    usage: CompletionUsage | None = None

    @property
    def finish_reason(self):
        """Return the reason why the completion ends with this chunk, or None."""
        return self.choices[0].finish_reason

    def text(self, is_chat):
        """Return the text in the format that `is_chat` selects, or None."""
        choice = self.choices[0]
        if not is_chat:
            return choice.text
        return choice.delta.content if choice.delta else None


decode_json = msgspec.json.Decoder(CompletionChunk).decode


def decode_chunk(data):
    """Return the CompletionChunk encoded in `data` or raise MalformedChunk."""
    try:
        return decode_json(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedChunk(f"malformed chunk: {error}") from error
