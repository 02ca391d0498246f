#!/bin/sh
# A request that crashes its workers; with TROUBLE=0 no other worker crashes.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 120 python3 review/7/case.py
