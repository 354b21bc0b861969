#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/9 start. They are
# Python programs that use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2 review/{6,7,8,9}/*.py
