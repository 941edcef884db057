#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library: checks that they
# can run and that the project's program was built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/standins/*.py review/[0-9]*/*.py <<'CHECK'
import ast, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
test -x target/app/amaranthgap
