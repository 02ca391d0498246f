"""The command `status`."""

from mulberryhub.cli.client import connect
from mulberryhub.cli.fleet import describe, read_fleet
from mulberryhub.cli.output import NOT_EVERYWHERE, OK, write_json
from mulberryhub.config.administration import StatusResponse


def status(*, router: str = "", key_file: str = "", json: bool = False):
    """Print what each router has in force; exits with 3 where one gives no answer.

    :param router: address of a router, or MULBERRYHUB_ROUTER
    :param key_file: file with the operator key, or MULBERRYHUB_OPERATOR_KEY
    :param json: print JSON
    """
    client = connect(router, key_file)
    reports = read_fleet(client)
    own = client.get("/admin/status", StatusResponse)
    if json:
        write_json({"routers": reports, "router": own})
    else:
        for report in reports:
            print(describe(report))
        print(f"counters of {own.router.vm}:")
        for name, value in sorted(own.counters.items()):
            print(f"  {name} {value}")
    silent = [item for item in reports if item.live and item.status is None]
    return NOT_EVERYWHERE if silent else OK
