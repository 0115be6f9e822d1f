#!/bin/sh
# Installs the libraries and copies our packages to target/deps, which is on the path of processes.
# Nothing is touched where it is up to date already, so that processes may run meanwhile.
set -eu
deps=target/deps
stamp=target/libraries.txt
fresh=target/fresh
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target
    mkdir -p target
    python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$fresh"
mkdir -p "$fresh"
for package in common daemon steps node; do
    cp -r packages/$package/src/jacinthreel_$package "$fresh/"
done
cp -r platform/src/jacinthreel_platform "$fresh/"
find "$fresh" -name __pycache__ -prune -exec rm -rf {} +
for package in "$fresh"/jacinthreel_*; do
    name=$(basename "$package")
    if ! diff -rq -x __pycache__ "$package" "$deps/$name" > /dev/null 2>&1; then
        rm -rf "${deps:?}/$name"
        mv "$package" "$deps/$name"
    fi
done
python3 -m compileall -q "$deps"
