#!/bin/sh
# run_case.sh CASE.py, in the case's folder: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. A
# status counts only if the case has written its verdict.
command -v python3 >/dev/null || exit 2
rm -f record.txt
PYTHONPATH=$(dirname "$0") PYTHONDONTWRITEBYTECODE=1 python3 "$1" &
trap 'kill $!' TERM INT # the case ends its processes
wait $!
status=$?
grep -q " verdict exit=$status " record.txt || exit 2
exit "$status"
