#!/bin/sh
# Runs each of the given cases five times with its disruption and once without it.
# The exit codes of the runs are printed; record.txt is that of the first run.
cd "$(dirname "$0")/.." || exit 2
for number in "$@"; do
    case_folder=review/$number
    kept=$(mktemp)
    codes=""
    for run in 1 2 3 4 5; do
        sh "$case_folder/run.sh" >/dev/null 2>&1
        codes="$codes $?"
        [ "$run" = 1 ] && cp "$case_folder/record.txt" "$kept"
    done
    TROUBLE=0 sh "$case_folder/run.sh" >/dev/null 2>&1
    echo "case $number: with the disruption$codes, without it $?"
    cp "$kept" "$case_folder/record.txt"
    rm -f "$kept"
done
