#!/bin/sh
# Builds what the scripts of the second review start, apart from the build of
# the deploy file. All of it is Python of the standard library, the project's
# renderer of settings templates included, so it is only compiled.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/standins-2/*.py review/[4-8]/*.py \
    tests/standins/deploy_template.py
