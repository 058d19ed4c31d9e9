#!/usr/bin/env bash
# Starts twelve gateways; the store executes a heartbeat of a server seconds late, after the server has left.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/azureflow ] && [ -x target/review-rig ] || exit 2
exec target/review-rig late-beat "$here/record.txt"
