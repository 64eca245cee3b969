#!/usr/bin/env bash
# Tests tests/verdict.sh on a folder with one passing and one failing test.
set -euo pipefail
verdict=$(dirname "$0")/verdict.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
printf 'add_test(good "/bin/true")\nadd_test(other.bad/1 "/bin/false")\n' >"$work/CTestTestfile.cmake"
failed=0

# expect PASS|FAIL TEXT LINE...: with these lines in KNOWN-RED.txt the verdict must pass or fail, and print TEXT.
expect() {
    local expected=$1 text=$2 result=PASS
    shift 2
    printf '%s\n' "$@" >"$work/known"
    "$verdict" "$work" "$work/known" >"$work/out" 2>&1 || result=FAIL
    if [ $result != "$expected" ] || ! grep -Fq -- "$text" "$work/out"; then
        echo "expected $expected and '$text' with: $*" >&2
        cat "$work/out" >&2
        failed=1
    fi
}

expect FAIL 'other.bad/1 (Failed)' ''
expect PASS 'KNOWN-RED: other.bad/1 fails, as known' 'other.bad/1 | a cause | 21'
expect FAIL 'KNOWN-RED: good passes' 'good | a cause | 21'
expect FAIL 'there is no test otherxbad/1' 'otherxbad/1 | a cause | 21'
expect FAIL 'three at most' 'good | c | 1' 'good | c | 1' 'other.bad/1 | c | 1' 'good | c | 1'
expect FAIL 'no cause or no issue' 'other.bad/1'
exit $failed
