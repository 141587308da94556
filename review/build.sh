#!/usr/bin/env bash
# Checks all that the scripts of the cases start. The stand-ins are Python programs
# of the standard library only, so nothing is compiled; the daemon is built by the
# line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 of Debian 12 (3.11) or newer is needed")
for source in sorted(pathlib.Path(".").rglob("*.py")):
    compile(source.read_text(), str(source), "exec")
CHECK
if [ ! -x ../target/wasabispreadd ]; then
  echo "target/wasabispreadd is missing: run the line build of deploy/system.toml" >&2
  exit 1
fi
echo "review: the stand-ins are ready"
