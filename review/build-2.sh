#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the daemon. Their stand-ins in review/*-2.mjs
# are plain JavaScript without dependencies, so there is nothing to compile: it only checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/siskin-node.cjs
for file in review/{deployment,store,worker}-2.mjs review/{6,7,8,9,10}/case.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
