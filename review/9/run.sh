#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
exec timeout -k 5 118 python3 "$(dirname "$0")/case.py"
