"""Command-line entry point of the fault soak."""

import sys

import defopt

from soak.run import main

if __name__ == "__main__":
    sys.exit(defopt.run(main, no_negated_flags=True))
