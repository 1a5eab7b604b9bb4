#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
test -x ../../.venv/bin/python || { echo "no .venv: the build of the deploy file comes first" >record.txt; exit 2; }
timeout 118 ../../.venv/bin/python -B case.py
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
