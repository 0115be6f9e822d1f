#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the programs of the deploy file: their stand-ins
# are Python modules without dependencies, so that compiling them shows that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile common-3/*.py 1[1-5]/*.py 13/ack/*.py
