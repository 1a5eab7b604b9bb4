#!/bin/sh
# Builds the stand-ins of the cases: Python sources that need nothing but the standard library and the
# interpreter that the deploy file's build leaves in .venv. It checks that they compile.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python - <<'END'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("built", path)
END
