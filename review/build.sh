#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python programs that use the
# standard library only, so that it is enough to compile them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
echo "the stand-ins are ready"
