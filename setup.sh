#!/usr/bin/env bash
# On a fresh Debian machine: installs what the sidecar, its tests and the fleet lab need, builds, runs one lab
# experiment (by default the CI-sized one) and prints where its report is.
#
#   ./setup.sh [EXPERIMENT.toml]
set -euo pipefail
cd "$(dirname "$0")"
export DEBIAN_FRONTEND=noninteractive

packages=(
    g++ cmake make clang-format-14
    libgtest-dev libboost-dev nlohmann-json3-dev libcli11-dev libtomlplusplus-dev libspdlog-dev libxxhash-dev
    librapidcheck-dev
    gnuplot-nox python3
)
as_root=()
[ "$(id -u)" = 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
"${as_root[@]}" apt-get install -qy --no-install-recommends "${packages[@]}"

cmake -B build -DCMAKE_BUILD_TYPE=Release -DOCHREGRADE_TESTS=OFF -DOCHREGRADE_LAB=ON
cmake --build build -j"$(nproc)"

experiment=${1:-experiments/small.toml}
build/ochregrade_lab run "$experiment" --program build/ochregrade --quiet >/dev/null
echo "report: lab-runs/$(basename "$experiment" .toml)-*/ (summary.json, fleet.png, servers.png)"
