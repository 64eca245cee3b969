#!/usr/bin/env bash
# Runs every test of a build folder and exits with 0 if they pass.
#
#   tests/verdict.sh FOLDER [KNOWN-RED.txt]
#
# Tests that KNOWN-RED.txt lists are expected to fail: each is run apart, its result is printed and does not decide the
# exit status. One line per test, "test | cause | issue", three lines at most. A line without a cause or an issue, a
# name that no test has, or a fourth line makes the script fail.
set -euo pipefail

readonly MAX_KNOWN_RED=3
folder=$1
known_red_file=${2:-$(dirname "$0")/../KNOWN-RED.txt}
run_tests=(ctest --test-dir "$folder" --output-on-failure -j"$(nproc)")

die() {
    echo "KNOWN-RED: $1" >&2
    exit 1
}

# Prints its argument as a regular expression that matches exactly this text.
escape_regex() { printf '%s' "$1" | sed 's/[][().*+?^$|\\{}]/\\&/g'; }

# Prints its argument without spaces at its ends.
trim() { printf '%s' "$1" | sed 's/^ *//; s/ *$//'; }

# Reads the names of the known failing tests into the array `names`.
read_known_red() {
    local name cause issue
    names=()
    [ -e "$known_red_file" ] || return 0
    while IFS='|' read -r name cause issue; do
        name=$(trim "$name")
        [ -n "$name" ] || continue
        if [ -z "${cause// /}" ] || [ -z "${issue// /}" ]; then
            die "$name has no cause or no issue"
        fi
        names+=("$name")
    done <"$known_red_file"
}

# Fails if there are too many names, or if one of them is no test of the folder.
check_names() {
    local name existing
    [ ${#names[@]} -le "$MAX_KNOWN_RED" ] || die "${#names[@]} lines, three at most"
    existing=$(ctest --test-dir "$folder" -N | sed -n 's/^ *Test *#[0-9]*: //p')
    for name in "${names[@]}"; do
        grep -Fxq -- "$name" <<<"$existing" || die "there is no test $name"
    done
}

# Runs one known failing test and prints its result.
report_known_red() {
    local name=$1
    if ctest --test-dir "$folder" -R "^$(escape_regex "$name")\$" >"$folder/known-red.log" 2>&1; then
        echo "KNOWN-RED: $name passes; its line can go"
    else
        echo "KNOWN-RED: $name fails, as known: $(grep -F -- "$name" "$known_red_file")"
    fi
}

read_known_red
if [ ${#names[@]} -eq 0 ]; then
    "${run_tests[@]}"
    exit
fi
check_names
excluded=
for name in "${names[@]}"; do
    report_known_red "$name"
    excluded+="${excluded:+|}$(escape_regex "$name")"
done
"${run_tests[@]}" -E "^($excluded)\$"
