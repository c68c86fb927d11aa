#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
python3 - <<'PY'
import py_compile
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    built = f"../target/review/{path.parent.name}-{path.stem}.pyc"
    py_compile.compile(str(path), cfile=built, doraise=True)
PY
