#!/usr/bin/env bash
# The stand-ins and cases are plain JavaScript, so there is nothing to build. Checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file" || exit 1
done
