#!/bin/sh
# Builds what the cases 6 to 10 start besides the front. The stand-ins (standins_2.py) are Python of the standard
# library and run as they are, with the environment that the build of the deploy file makes; here they are only checked.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -B - <<'END'
import ast, pathlib

for path in [pathlib.Path("review/standins_2.py"), *sorted(pathlib.Path("review").glob("*/case.py"))]:
    ast.parse(path.read_text(), str(path))
END
