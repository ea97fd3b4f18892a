#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain modules of Node.js in review/lib-3 and need no build; this checks that they
# and the scripts can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
    node --check "$file"
done
