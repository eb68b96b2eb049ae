#!/usr/bin/env bash
# Runs the case of a folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
node "$1/case.mjs" "$1"
status=$?
if [ "$status" -gt 2 ]; then exit 2; fi
exit "$status"
