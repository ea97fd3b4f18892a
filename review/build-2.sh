#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript without packages, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
