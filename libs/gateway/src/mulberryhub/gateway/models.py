"""The listing of models."""

import msgspec

from mulberryhub.gateway.auth import authenticate
from mulberryhub.gateway.replies import json_reply


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
    return json_reply(ModelList([ModelEntry(id_) for id_ in allowed]))
