#!/bin/sh
# Shows the case of claim.txt; TROUBLE=0 leaves the disruption out.  Exit 1: the rule was broken.
cd "$(dirname "$0")" && exec python3 case.py
