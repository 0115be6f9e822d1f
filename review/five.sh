#!/bin/sh
# Runs a case's script five times and once without its disruption: five.sh N
cd "$(dirname "$0")/$1"
for run in 1 2 3 4 5; do
    sh run.sh > /dev/null; echo "run $run: exit $?"
done
cp record.txt record-kept.txt
TROUBLE=0 sh run.sh; echo "TROUBLE=0: exit $?"
mv record.txt record-without-trouble.txt
mv record-kept.txt record.txt
