"""The command `check`: validates an inventory file without a router."""

from mulberryhub.cli.files import read_file
from mulberryhub.cli.output import EXIT_OK, EXIT_REFUSED, write_json
from mulberryhub.config.administration import FindingsResponse
from mulberryhub.config.validation import validate_inventory


def check(file: str, *, json: bool = False):
    """Check an inventory and print all findings; exits with 1 on errors.

    :param file: path of the inventory
    :param json: print JSON
    """
    _, findings = validate_inventory(read_file(file))
    if json:
        write_json(FindingsResponse(findings.items))
    else:
        for finding in findings.items:
            print(finding)
        print(f"{len(findings.errors)} errors")
    return EXIT_REFUSED if findings.errors else EXIT_OK
