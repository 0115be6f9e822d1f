#!/bin/sh
# Installs the libraries and copies our packages to target/deps, which is on the path of processes.
set -eu
deps=target/deps
stamp=target/libraries.txt
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target
    mkdir -p target
    python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps"/jacinthreel_*
for package in common daemon steps node; do
    cp -r packages/$package/src/jacinthreel_$package "$deps/"
done
cp -r platform/src/jacinthreel_platform "$deps/"
python3 -m compileall -q "$deps"
