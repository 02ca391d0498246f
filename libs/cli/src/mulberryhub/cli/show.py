"""The command `show`: prints the inventory in force and recent changes."""

from mulberryhub.cli.client import connect
from mulberryhub.cli.output import EXIT_OK, write_json
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
        return EXIT_OK
    print(f"newest offset {answer.base}")
    for change in answer.history:
        print(f"{change.offset} {change.action} by {change.author}")
    write_json(answer.inventory)
    return EXIT_OK
