#!/usr/bin/env bash
# The one test command: configures and builds into a folder, then runs every test.
#
#   tests/run.sh [FOLDER [CMAKE OPTION...]]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build-tests}
shift || true
cmake -S . -B "$folder" -DOCHREGRADE_TESTS=ON -DOCHREGRADE_LAB=ON "$@"
cmake --build "$folder" -j"$(nproc)"
tests/verdict.sh "$folder"
