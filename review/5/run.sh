#!/usr/bin/env bash
# Starts three gateways; another writer leaves an entry with missing fields that has the address of a directory.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/azureflow ] && [ -x target/review-rig ] || exit 2
exec target/review-rig wrong-address "$here/record.txt"
