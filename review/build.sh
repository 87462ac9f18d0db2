#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies: there is nothing to build. Checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs */*.mjs; do node --check "$file"; done
