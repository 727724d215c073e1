#!/bin/sh
# Builds the project's stand-ins, which the scripts of review/11 to review/15 import from platform/out.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
