"""The command `apply`: sets the inventory on all routers."""

from mulberryhub.cli.client import connect
from mulberryhub.cli.files import read_file
from mulberryhub.cli.fleet import describe_router, wait_until_in_force
from mulberryhub.cli.output import EXIT_NOT_IN_FORCE, EXIT_OK, write_json
from mulberryhub.config.administration import ChangeResponse, ConfigurationResponse

DEFAULT_TIMEOUT_S = 17


def apply(
    file: str,
    *,
    base: int | None = None,
    timeout: float = DEFAULT_TIMEOUT_S,
    router: str = "",
    key_file: str = "",
    json: bool = False,
):
    """Set the inventory and wait until it is in force on every live router.

    :param file: path of the inventory
    :param base: offset that the change is based on; by default the newest one
    :param timeout: seconds to wait for all routers
    :param router: address of a router, or MULBERRYHUB_ROUTER
    :param key_file: file with the operator key, or MULBERRYHUB_OPERATOR_KEY
    :param json: print JSON
    """
    client = connect(router, key_file)
    data = read_file(file)
    if base is None:
        base = client.get("/admin/configuration", ConfigurationResponse).base
    path = f"/admin/inventory?base={base}"
    offset = client.post(path, data, ChangeResponse).offset

    def is_in_force(status):
        return status.offset >= offset and status.unread is None

    not_in_force = wait_until_in_force(client, is_in_force, timeout)
    if json:
        write_json({"offset": offset, "not_in_force": not_in_force})
    else:
        print(f"accepted at offset {offset}")
        for report in not_in_force:
            print(f"not in force on {describe_router(report)}")
    return EXIT_NOT_IN_FORCE if not_in_force else EXIT_OK
