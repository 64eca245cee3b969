#!/usr/bin/env bash
# Copies the kit's wire names and unlock codes into this folder, where the bench reads them beside each site file. Git
# ignores the copies.
#
#   deploy/sites/install_sites.sh KIT
set -euo pipefail
kit=${1:?the kit\'s folder, such as ../given/kit}
cp "$kit"/sites/{real.json,wire.json,unlock.txt} "$(dirname "$0")"
