"""Entry point of `mulberryhubd`."""

import sys

import defopt

from mulberryhub.base.logs import configure_logs
from mulberryhub.config.settings import SettingsInvalid, read_secrets, read_settings
from mulberryhub.daemon.root import build
from mulberryhub.daemon.signals import StopRequest

EXIT_SETTINGS = 2


def run(*, settings: str):
    """Run a router until it is asked to stop.

    :param settings: path of the JSON file with the settings
    """
    try:
        values = read_settings(settings)
        secrets = read_secrets(values.secrets_file)
    except SettingsInvalid as invalid:
        for finding in invalid.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    configure_logs(values.log_level, values.log_json)
    stop_request = StopRequest()
    daemon = build(values, secrets)
    daemon.start()
    print(f"listening on {daemon.address}", flush=True)
    stop_request.wait()
    daemon.stop()


def main():
    """Parse the command line and run."""
    defopt.run(run, no_negated_flags=True)


if __name__ == "__main__":
    main()
