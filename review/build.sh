#!/bin/sh
# Builds the stand-ins of the review's scripts: small Python programs without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile stand/*.py
