"""The command `apply`."""

from mulberryhub.cli.client import connect
from mulberryhub.cli.files import read_file
from mulberryhub.cli.fleet import describe, wait_everywhere
from mulberryhub.cli.output import NOT_EVERYWHERE, OK, write_json
from mulberryhub.config.administration import ChangeResponse, ConfigurationResponse

TIMEOUT = 17  # s


def apply(
    file: str,
    *,
    base: int | None = None,
    timeout: float = TIMEOUT,
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

    missing = wait_everywhere(client, is_in_force, timeout)
    if json:
        write_json({"offset": offset, "not_in_force": missing})
    else:
        print(f"accepted at offset {offset}")
        for report in missing:
            print(f"not in force on {describe(report)}")
    return NOT_EVERYWHERE if missing else OK
