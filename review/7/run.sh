#!/bin/sh
# See claim.txt. Writes record.txt in this folder. TROUBLE=0: the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
