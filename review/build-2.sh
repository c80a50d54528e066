#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start beside the programs of the deploy file:
# the stand-ins of review/common-2, which are Python programs without dependencies. Fails if they
# cannot be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8)'
for file in common-2/*.py {6..9}/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
