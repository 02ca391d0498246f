#!/bin/sh
# Puts the router and its libraries under target/deps. Nothing else is needed to run it.
set -eu
deps=target/deps
if [ ! -e "$deps/.requirements" ] || ! cmp -s requirements/run.txt "$deps/.requirements"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" \
        -r requirements/run.txt
    cp requirements/run.txt "$deps/.requirements"
fi
rm -rf "$deps/mulberryhub"
for library in libs/*/src platform/src; do
    cp -R "$library/." "$deps/"
done
find "$deps" -maxdepth 1 -name '*.egg-info' -exec rm -rf {} +
