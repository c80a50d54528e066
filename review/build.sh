#!/bin/sh
# Checks what the stand-ins need. They are Python 3.11 scripts of the standard library, so nothing is
# compiled. Exits with 1 if the interpreter is missing or too old.
exec python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
