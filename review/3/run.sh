#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the program that the build command of deploy/system.toml makes.
set -u
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
rm -f record.txt
timeout --signal=TERM --kill-after=2 118 python3 case.py
status=$?
if [ "$status" -eq 1 ] && grep -q "BROKEN" record.txt; then
  exit 1
fi
[ "$status" -eq 0 ] && exit 0
exit 2
