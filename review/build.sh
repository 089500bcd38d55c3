#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases. They run on Node.js alone and need no compilation.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do node --check "$file"; done
