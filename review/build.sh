#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of the cases start. Needs no network once the build of the deploy file has installed the dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
