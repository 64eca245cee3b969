#!/bin/sh
# run_case.sh CASE.py: runs a case's script; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
command -v python3 >/dev/null || exit 2
PYTHONPATH=$(dirname "$0") PYTHONDONTWRITEBYTECODE=1 python3 "$1"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
