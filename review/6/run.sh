#!/bin/sh
# TROUBLE=0: without the disruption. Exit: 1 broken, 0 held, 2 could not run.
exec python3 "$(dirname "$0")/case.py"
