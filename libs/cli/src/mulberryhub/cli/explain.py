"""The command `explain`: prints a routing decision without sending the request."""

import msgspec

from mulberryhub.cli.client import connect
from mulberryhub.cli.files import read_file
from mulberryhub.cli.output import EXIT_OK, write_json
from mulberryhub.config.administration import ExplainRequest, ExplainResponse


def explain(
    request: str,
    *,
    workspace: str,
    plain: bool = False,
    router: str = "",
    key_file: str = "",
    json: bool = False,
):
    """Print how a router would route a completions request, without sending it.

    :param request: file with the JSON body of the request
    :param workspace: id of the workspace that would send it
    :param plain: the body is for /v1/completions and not for a chat
    :param router: address of the router, or MULBERRYHUB_ROUTER
    :param key_file: file with the operator key, or MULBERRYHUB_OPERATOR_KEY
    :param json: print JSON
    """
    client = connect(router, key_file)
    body = ExplainRequest(workspace, msgspec.Raw(read_file(request)), not plain)
    answer = client.post("/admin/explain", msgspec.json.encode(body), ExplainResponse)
    if json:
        write_json(answer)
        return EXIT_OK
    print(f"policy {answer.policy}, {answer.prompt_tokens} prompt tokens, ", end="")
    print(f"{answer.reserved_tokens} reserved")
    for candidate in answer.candidates:
        print(describe_candidate(candidate))
    print(answer.reason)
    return EXIT_OK


def describe_candidate(candidate):
    """Return one line with the cost and load of a routing candidate."""
    cost = "-" if candidate.cost is None else f"{candidate.cost:.0f}"
    missing_tokens = (
        "-" if candidate.missing_tokens is None else candidate.missing_tokens
    )
    line = (
        f"  {candidate.engine} ({candidate.data_centre}): cost {cost} ms, "
        f"missing {missing_tokens} tokens, waiting {candidate.own_tokens} own and "
        f"{candidate.reported_tokens} reported"
    )
    return f"{line}, failing" if candidate.failing else line
