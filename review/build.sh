#!/usr/bin/env bash
# Builds the stand-ins of the scripts: compiles them. They need nothing but the
# standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
