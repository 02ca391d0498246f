"""The command `status`: prints the state of all routers and one's counters."""

from mulberryhub.cli.client import connect
from mulberryhub.cli.fleet import describe_router, read_reports
from mulberryhub.cli.output import EXIT_NOT_IN_FORCE, EXIT_OK, write_json
from mulberryhub.config.administration import StatusResponse


def status(*, router: str = "", key_file: str = "", json: bool = False):
    """Print what each router has in force; exits with 3 where one gives no answer.

    :param router: address of a router, or MULBERRYHUB_ROUTER
    :param key_file: file with the operator key, or MULBERRYHUB_OPERATOR_KEY
    :param json: print JSON
    """
    client = connect(router, key_file)
    reports = read_reports(client)
    status_answer = client.get("/admin/status", StatusResponse)
    if json:
        write_json({"routers": reports, "router": status_answer})
    else:
        for report in reports:
            print(describe_router(report))
        print(f"counters of {status_answer.router.vm}:")
        for name, value in sorted(status_answer.counters.items()):
            print(f"  {name} {value}")
    unanswered = [item for item in reports if item.live and item.status is None]
    return EXIT_NOT_IN_FORCE if unanswered else EXIT_OK
