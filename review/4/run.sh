#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.. exec python3 case.py
