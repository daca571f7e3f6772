#!/bin/sh
# Makes ready what the cases 6 to 10 start beside the program: their stand-ins are Python without packages, so nothing
# is compiled. Run it after the build of deploy/balancer.toml; it says what is missing.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast
import glob
import sys
if sys.version_info < (3, 8):
    sys.exit('python3 is older than 3.8')
for path in ['review/parts2.py'] + glob.glob('review/*/case.py'):
    with open(path) as file:
        ast.parse(file.read(), path)
END
test -x build/apps/whinpost || echo "build/apps/whinpost is missing: run the build of deploy/balancer.toml"
