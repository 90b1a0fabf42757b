#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start: they are plain programs of the runtime, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs [4-8]/*.mjs; do node --check "$file"; done
