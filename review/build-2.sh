#!/bin/sh
# Builds the stand-ins of cases 6 to 10: Python without dependencies, so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in stand-2/*.py [6-9]/*.py 10/*.py; do
    if [ -f "$file" ]; then
        python3 -m py_compile "$file"
    fi
done
