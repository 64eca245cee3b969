#!/bin/sh
# Builds what the scripts of review/6 to review/8 start, after the build of the deploy file. Their stand-ins are Python
# (standard library only), so there is nothing to compile: it checks that they can be read by this machine's Python, and that
# the program is there.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
[ -x build/ochregrade ] || { echo "build/ochregrade is missing: run the build of deploy/balancer.toml first" >&2; exit 1; }
for source in review/standins-2/*.py review/6/*.py review/7/*.py review/8/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source" || exit 1
done
