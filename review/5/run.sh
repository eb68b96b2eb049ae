#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
node case.mjs "$PWD"
status=$?
if [ "$status" -gt 2 ]; then exit 2; fi
exit "$status"
