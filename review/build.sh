#!/usr/bin/env bash
# The stand-ins are Python modules of the standard library alone, which need
# no build; this checks that they can run and that the programs of the deploy
# file were built.  Python comes with libglib2.0-dev, a package of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
test -x target/mwplatformd || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 - <<'P'
import ast, glob, sys, tomllib
for path in glob.glob("review/**/*.py", recursive=True):
    ast.parse(open(path, encoding="utf-8").read(), path)
print("stand-ins: ok, Python", sys.version.split()[0])
P
