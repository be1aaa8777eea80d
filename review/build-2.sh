#!/bin/bash
# The stand-ins of review/4 to review/8 are Python 3 with its standard library only
# (review/site2.py and each case's case.py), so nothing is compiled here. The scripts
# run what deploy/system.toml builds: target/release/limpetferry-gateway and
# target/release/limpetferry-keeper. No program of testutils is started.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else 2)'
for file in review/site2.py review/[4-8]/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
