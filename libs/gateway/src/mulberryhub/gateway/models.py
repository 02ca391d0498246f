"""List of models, as served by `GET /v1/models`."""

import msgspec

from mulberryhub.gateway.auth import authenticate
from mulberryhub.gateway.responses import json_response


class ModelEntry(msgspec.Struct):
    """A model in the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "mulberryhub"


class ModelList(msgspec.Struct):
    """Response body of the list of models."""

    data: list[ModelEntry]
    object: str = "list"


def list_models(request, view):
    """Return the response that lists the models allowed for the client's workspace.

    A workspace without a list of models may use all of them. Raise ApiError if the
    key of `request` is not valid.
    """
    workspace = authenticate(request, view)
    allowed_ids = workspace.models or list(view.models_by_id)
    return json_response(ModelList([ModelEntry(id_) for id_ in allowed_ids]))
