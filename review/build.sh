#!/bin/sh
# Builds the stand-ins that the scripts start: they are in review/harness and need the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/review
cp -R review/harness target/review/review/
python3 -m compileall -q target/review
