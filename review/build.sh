#!/usr/bin/env bash
# The stand-ins of the cases are plain modules that need no compilation and no package. This checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in shared/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
