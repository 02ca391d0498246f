"""Command-line entry point of the fault soak."""

import sys

import defopt

from soak.run import soak

if __name__ == "__main__":
    sys.exit(defopt.run(soak, no_negated_flags=True))
