#!/usr/bin/env bash
# Starts the 26 gateways of a region; the servers of a service are down for 4 s and come back together, cold.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/azureflow ] && [ -x target/review-rig ] || exit 2
exec target/review-rig cold-server "$here/record.txt"
