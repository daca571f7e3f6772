#!/usr/bin/env bash
# Plays a deployment of this folder on the platform's bench: play.sh NAME KIT [ARGUMENTS OF THE SCORE ...]. KIT is the folder that
# holds bin/lbreal and other/ (names, wire and unlocks that have to lie beside a site file; laid here for the play, not kept in git).
set -euo pipefail
[ $# -ge 2 ] || { echo "usage: play.sh NAME KIT [ARGUMENTS ...]" >&2; exit 2; }
name=$1 kit=$(cd "$2" && pwd)
shift 2
cd "$(dirname "$0")/../.."
[ -f "deploy/sites/$name.toml" ] || { echo "play.sh: deploy/sites/$name.toml: no such deployment" >&2; exit 2; }
for f in real.json wire.json unlock.txt; do cp -f "$kit/other/$f" deploy/sites/; done
exec "$kit/bin/lbreal" score "deploy/sites/$name.toml" "$@"
