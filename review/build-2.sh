#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python, so it only compiles them.
cd "$(dirname "$0")/.." || exit 2
for file in review/lab.py review/poison.py review/[6-9]/case.py review/10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
