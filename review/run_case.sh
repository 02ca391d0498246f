#!/bin/sh
# Runs the case in the folder $1: sh review/run_case.sh review/1
set -eu
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
for path in target/deps/mulberryhub target/review/review/harness; do
    if [ ! -d "$path" ]; then
        echo "not built: $path" >&2
        exit 2
    fi
done
export PYTHONPATH=target/review
exec python3 "$folder/case.py"
