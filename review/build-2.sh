#!/bin/bash
# Builds the stand-ins of review/4 and on. They are plain Python 3 without further packages, so that nothing
# has to be compiled; chalkshed-serve is built by the command of deploy/system.toml, into target/.
set -e
cd "$(dirname "$0")/.."
test -x target/bin/chalkshed-serve || { echo "target/bin/chalkshed-serve is missing: run the build of deploy/system.toml" >&2; exit 1; }
for file in review/standin_2.py review/[4-8]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
