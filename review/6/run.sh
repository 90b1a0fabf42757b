#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: no server fails a request.
cd "$(dirname "$0")" && exec node run.mjs
