#!/bin/sh
# Builds the stand-ins that the scripts start: the Python files beside this one, which
# need the standard library only. Scripts import them as the package review.harness.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/review/harness
cp review/*.py target/review/review/harness/
python3 -m compileall -q target/review
