#!/bin/sh
# Builds what the cases start besides the placer itself: nothing. The stand-ins are Python programs that use the standard
# library alone; this checks that the interpreter is there and that they compile.
cd "$(dirname "$0")" || exit 1
exec /usr/bin/python3 -B -c 'import sys, tomllib
for path in sys.argv[1:]: compile(open(path).read(), path, "exec")
print("stand-ins: nothing to build")' standins.py standing.py 1/case.py 2/case.py 3/case.py
