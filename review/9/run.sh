#!/bin/sh
# A flood of one tenant and a kill of all routers; TROUBLE=0 kills none.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 4 115 python3 review/9/case.py
