"""The command `show`."""

from mulberryhub.cli.client import connect
from mulberryhub.cli.output import OK, write_json
from mulberryhub.config.administration import ConfigurationResponse


def show(*, router: str = "", key_file: str = "", json: bool = False):
    """Print the inventory in force, its offset and the last changes.

    :param router: address of a router, or MULBERRYHUB_ROUTER
    :param key_file: file with the operator key, or MULBERRYHUB_OPERATOR_KEY
    :param json: print JSON
    """
    client = connect(router, key_file)
    answer = client.get("/admin/configuration", ConfigurationResponse)
    if json:
        write_json(answer)
        return OK
    print(f"newest offset {answer.base}")
    for item in answer.history:
        print(f"{item.offset} {item.action} by {item.author}")
    write_json(answer.inventory)
    return OK
