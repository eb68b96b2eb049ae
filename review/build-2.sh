#!/bin/sh
# Compiles the project's own stand-ins, which the scripts of review/6 to review/10 use. Their other stand-ins need no build.
cd "$(dirname "$0")/.." && node node_modules/typescript/bin/tsc -b
