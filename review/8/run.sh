#!/bin/sh
# A request that crashes its workers; with TROUBLE=0 no other worker crashes.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 4 115 python3 review/8/case.py
