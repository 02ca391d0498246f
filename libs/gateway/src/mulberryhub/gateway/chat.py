"""Completions: checks a call, admits it, chooses an engine and relays its answer."""

from typing import Any

import msgspec

from mulberryhub.base.errors import Code, HubError
from mulberryhub.gateway.auth import authenticate

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


class ModelEntry(msgspec.Struct):
    """One model in the answer to a listing."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "mulberryhub"


class ModelList(msgspec.Struct):
    """The answer to a listing of models."""

    data: list[ModelEntry]
    object: str = "list"


def list_models(call, view):
    """Return the models that the caller's workspace may use."""
    workspace = authenticate(call, view)
    allowed = workspace.models or list(view.models_by_id)
    return ModelList([ModelEntry(id_) for id_ in allowed])
