#!/bin/sh
# A request that crashes its workers, and kills of all routers; TROUBLE=0 kills none.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 4 115 python3 review/10/case.py
