"""Parsing and validation of completion request bodies."""

from typing import Any

import msgspec

from mulberryhub.base.errors import ApiError, ErrorCode

DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 100_000


class ChatMessage(msgspec.Struct):
    """A message of a chat; `content` is a string or a list of parts."""

    role: str
    content: Any = ""


class StreamOptions(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct):
    """The fields of a completion request that affect routing and admission."""

    model: str
    messages: list[ChatMessage] = []
    prompt: Any = None
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None

    @property
    def output_tokens(self):
        """Return the maximum number of output tokens."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_OUTPUT_TOKENS


def parse_body(data, is_chat):
    """Return the CompletionBody parsed from the JSON bytes `data`.

    Raise ApiError if it is malformed, lacks a prompt or exceeds the limit of output
    tokens.
    """
    try:
        body = msgspec.json.decode(data, type=CompletionBody)
    except msgspec.ValidationError as error:
        raise ApiError(ErrorCode.BAD_REQUEST, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ApiError(
            ErrorCode.MALFORMED_JSON, "the body is not valid JSON"
        ) from error
    if is_chat and not body.messages:
        raise ApiError(ErrorCode.BAD_REQUEST, "messages must not be empty")
    if not is_chat and not isinstance(body.prompt, str):
        raise ApiError(ErrorCode.BAD_REQUEST, "prompt must be a string")
    if not 1 <= body.output_tokens <= MAX_OUTPUT_TOKENS:
        raise ApiError(
            ErrorCode.BAD_REQUEST, f"max_tokens must be 1 to {MAX_OUTPUT_TOKENS}"
        )
    return body


def parse_document(data):
    """Return all fields of a body that `parse_body` has accepted, as a dict.

    Raise ApiError if a field that `parse_body` skips is malformed, such as one that
    is nested too deeply.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ApiError(
            ErrorCode.MALFORMED_JSON, "the body is not valid JSON"
        ) from error


def find_allowed_model(body, workspace, view):
    """Return the model that `body` requests.

    Raise ApiError if it does not exist or the workspace may not use it.
    """
    model = view.models_by_id.get(body.model)
    if model is None:
        raise ApiError(
            ErrorCode.UNKNOWN_MODEL, f"the model {body.model!r} is not known"
        )
    if workspace.models and model.id not in workspace.models:
        raise ApiError(
            ErrorCode.MODEL_NOT_ALLOWED, f"the workspace may not use {body.model!r}"
        )
    return model


def content_text(content):
    """Return the text of a message's content, given as a string or a list of parts."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    parts = [part for part in content if isinstance(part, dict)]
    return "\n".join(str(part.get("text", "")) for part in parts)
