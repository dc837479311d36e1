#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts: there is nothing to compile, so this only parses them.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs */play.mjs; do node --check "$file"; done
test -f ../target/siskin-node.cjs
