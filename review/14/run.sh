#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held,
# 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wasabispreadd ] || exit 2
command -v python3 >/dev/null || exit 2
timeout -k 5 110 python3 -B review/14/run.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
