#!/usr/bin/env bash
# Runs a deployment of this folder on the platform's test bench: play.sh NAME KIT [ARGUMENTS ...]. KIT is the folder with
# bin/lbreal and other/; ARGUMENTS are passed to `lbreal score`. The files real.json, wire.json and unlock.txt must be next to
# the deployment's file: they are copied here from KIT/other for the run and are not in git.
set -euo pipefail
[ $# -ge 2 ] || { echo "usage: play.sh NAME KIT [ARGUMENTS ...]" >&2; exit 2; }
name=$1 kit=$(cd "$2" && pwd)
shift 2
cd "$(dirname "$0")/../.."
[ -f "deploy/sites/$name.toml" ] || { echo "play.sh: deploy/sites/$name.toml: no such deployment" >&2; exit 2; }
for f in real.json wire.json unlock.txt; do cp -f "$kit/other/$f" deploy/sites/; done
exec "$kit/bin/lbreal" score "deploy/sites/$name.toml" "$@"
