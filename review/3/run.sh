#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
edge=$(sed -n '/^\[roles.edge\]/,/^$/s/^run = "\(.*\)"/\1/p' deploy/system.toml)
if [[ ! -x target/review/stand_in || ! -x $edge ]]; then
    echo "NOT RUN: build the deploy file and review/build.sh first"
    exit 2
fi
target/review/stand_in stale review/3 "$edge"
code=$?
[[ $code -le 1 ]] || code=2
exit "$code"
