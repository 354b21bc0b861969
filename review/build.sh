#!/usr/bin/env bash
# Builds the stand-ins of the scripts: all are Python, and need no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
