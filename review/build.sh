#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are plain modules for the runtime, so that building them means checking that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-9]/*.mjs; do
  node --check "$file"
done
