#!/bin/sh
# Puts the router and its libraries under target/deps. Nothing else is needed to run it.
# Without a change it leaves target/deps as it is, as processes may be running from it.
set -eu
deps=target/deps
if ! cmp -s requirements/run.txt "$deps/.requirements"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" \
        -r requirements/run.txt
    cp requirements/run.txt "$deps/.requirements"
fi
sources=$(find libs/*/src platform/src -name '*.py' | LC_ALL=C sort | xargs sha256sum)
if [ "$sources" != "$(cat "$deps/.sources" 2>/dev/null || true)" ]; then
    rm -rf "$deps/mulberryhub" "$deps/.sources"
    for folder in libs/*/src platform/src; do
        cp -R "$folder/mulberryhub" "$deps/"
    done
    # A process may not be able to write its byte code, and compile anew at each start.
    python3 -m compileall -q "$deps/mulberryhub"
    echo "$sources" > "$deps/.sources"
fi
