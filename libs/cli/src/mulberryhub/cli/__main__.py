"""Entry point of the `mulberryhub` command: selects and runs a subcommand."""

import sys

import defopt

from mulberryhub.cli.apply import apply
from mulberryhub.cli.check import check
from mulberryhub.cli.drain import drain
from mulberryhub.cli.explain import explain
from mulberryhub.cli.failures import CallFailed
from mulberryhub.cli.key import add, withdraw
from mulberryhub.cli.output import report_failure
from mulberryhub.cli.release import release
from mulberryhub.cli.show import show
from mulberryhub.cli.status import status
from mulberryhub.cli.why import why

COMMANDS = {
    "check": check,
    "apply": apply,
    "show": show,
    "status": status,
    "explain": explain,
    "drain": drain,
    "why": why,
    "release": release,
    "key": {"add": add, "withdraw": withdraw},
}


def main():
    """Run the subcommand in sys.argv and exit with its code."""
    command = defopt.bind(COMMANDS, no_negated_flags=True)
    try:
        code = command()
    except CallFailed as error:
        code = report_failure(error, "--json" in sys.argv)
    sys.exit(code)


if __name__ == "__main__":
    main()
