#!/usr/bin/env bash
# Compiles the stand-ins of cases 6 to 9; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
python3 - <<'PY'
import pathlib
import py_compile

for folder in ("common2", "6", "7", "8", "9"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        built = f"../target/review-2/{folder}-{path.stem}.pyc"
        py_compile.compile(str(path), cfile=built, doraise=True)
PY
