#!/bin/bash
# Builds what the scripts of the cases 11 to 15 start besides the programs of the deploy file: their
# stand-ins are plain modules, which only have to be readable.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
test -f ../target/lagoongapd.cjs || echo 'target/lagoongapd.cjs is missing: run the build of the deploy file first'
