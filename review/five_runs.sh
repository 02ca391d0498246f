#!/bin/sh
# Runs each script five times with its disruption and once without; prints exit codes.
cd "$(dirname "$0")/.."
for folder in review/[1-5]; do
    [ -f "$folder/run.sh" ] || continue
    codes=""
    for _ in 1 2 3 4 5; do
        sh "$folder/run.sh" > /dev/null 2>&1
        codes="$codes $?"
    done
    cp "$folder/record.txt" "$folder/record.kept"
    TROUBLE=0 sh "$folder/run.sh" > /dev/null 2>&1
    echo "$folder: with the disruption:$codes; without: $?"
    mv "$folder/record.kept" "$folder/record.txt"
done
