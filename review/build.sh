#!/usr/bin/env bash
# Checks the stand-ins and tests, which are plain modules of Node.js and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do node --check "$file"; done
