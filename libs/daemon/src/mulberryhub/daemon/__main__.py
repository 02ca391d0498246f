"""Command line of the router daemon `mulberryhubd`."""

import sys

import defopt

from mulberryhub.base.logs import configure_logs
from mulberryhub.config.settings import SettingsInvalid, read_secrets, read_settings
from mulberryhub.daemon.root import build_daemon
from mulberryhub.daemon.signals import SignalWaiter

INVALID_SETTINGS_EXIT_CODE = 2


def run(*, settings: str):
    """Run a router until it is asked to stop.

    :param settings: path of the JSON file with the settings
    """
    try:
        parsed_settings = read_settings(settings)
        secrets = read_secrets(parsed_settings.secrets_file)
    except SettingsInvalid as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(INVALID_SETTINGS_EXIT_CODE)
    configure_logs(parsed_settings.log_level, parsed_settings.log_json)
    signal_waiter = SignalWaiter()
    daemon = build_daemon(parsed_settings, secrets)
    daemon.start()
    print(f"listening on {daemon.address}", flush=True)
    signal_waiter.wait_for_stop()
    daemon.stop()


def main():
    """Parse the command line and run the daemon."""
    defopt.run(run, no_negated_flags=True)


if __name__ == "__main__":
    main()
