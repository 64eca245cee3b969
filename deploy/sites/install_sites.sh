#!/usr/bin/env bash
# Copies the files that the bench reads next to a site file into this folder: the kit's own wire names and its unlock
# codes. Git ignores them.
#
#   deploy/sites/install_sites.sh KIT
set -euo pipefail
kit=${1:?the kit\'s folder, such as ../given/kit}
cp "$kit"/sites/{real.json,wire.json,unlock.txt} "$(dirname "$0")"
