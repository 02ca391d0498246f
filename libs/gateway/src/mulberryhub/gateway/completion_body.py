"""The body of a completions request: its fields, limits and prompt."""

from typing import Any

import msgspec

from mulberryhub.base.errors import Code, HubError

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 100_000


class Message(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: Any = ""


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct):
    """The fields of a completion request that decide its routing."""

    model: str
    messages: list[Message] = []
    prompt: Any = None
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream_options: StreamOptions | None = None

    @property
    def output_tokens(self):
        """Return the number of tokens reserved for the answer."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


def parse_body(data, is_chat):
    """Return the checked body of a completion call or raise HubError."""
    try:
        body = msgspec.json.decode(data, type=CompletionBody)
    except msgspec.ValidationError as error:
        raise HubError(Code.BAD_REQUEST, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise HubError(Code.MALFORMED_JSON, "the body is not valid JSON") from error
    if is_chat and not body.messages:
        raise HubError(Code.BAD_REQUEST, "messages must not be empty")
    if not is_chat and not isinstance(body.prompt, str):
        raise HubError(Code.BAD_REQUEST, "prompt must be a string")
    if not 1 <= body.output_tokens <= MAX_TOKENS:
        raise HubError(Code.BAD_REQUEST, f"max_tokens must be 1 to {MAX_TOKENS}")
    return body


def parse_document(data):
    """Return the whole JSON object of a body that parse_body has taken.

    Fields that routing does not look at are parsed here for the first time, so
    this can refuse too.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise HubError(Code.MALFORMED_JSON, "the body is not valid JSON") from error


def check_model(body, workspace, view):
    """Return the model that `body` names or raise HubError."""
    model = view.models_by_id.get(body.model)
    if model is None:
        raise HubError(Code.UNKNOWN_MODEL, f"the model {body.model!r} is not known")
    if workspace.models and model.id not in workspace.models:
        raise HubError(
            Code.MODEL_NOT_ALLOWED, f"the workspace may not use {body.model!r}"
        )
    return model


def content_text(content):
    """Return the text of a message's content, given as a string or as parts."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ""
    parts = [part for part in content if isinstance(part, dict)]
    return "\n".join(str(part.get("text", "")) for part in parts)
