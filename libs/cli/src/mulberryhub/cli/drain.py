"""The command `drain`: takes a router out of service for new calls."""

import msgspec

from mulberryhub.cli.client import connect
from mulberryhub.cli.output import EXIT_OK, write_json
from mulberryhub.config.administration import DrainRequest, DrainResponse


def drain(
    *, undo: bool = False, router: str = "", key_file: str = "", json: bool = False
):
    """Make a router fail readiness, so that the balancer sends it no new calls.

    Calls that run go on. The router serves again after `drain --undo`.

    :param undo: let the router be ready again
    :param router: address of the router, or MULBERRYHUB_ROUTER
    :param key_file: file with the operator key, or MULBERRYHUB_OPERATOR_KEY
    :param json: print JSON
    """
    client = connect(router, key_file)
    body = msgspec.json.encode(DrainRequest(not undo))
    answer = client.post("/admin/drain", body, DrainResponse)
    if json:
        write_json(answer)
    else:
        print("draining" if answer.draining else "ready again")
    return EXIT_OK
