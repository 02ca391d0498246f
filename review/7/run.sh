#!/bin/sh
# A planned stop while clients read slowly; TROUBLE=0 lets them read at once.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 4 115 python3 review/7/case.py
