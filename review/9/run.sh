#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azureflow ] && [ -x target/review-2/9 ] || { echo "not built: deploy build and review/build-2.sh first"; exit 2; }
exec timeout 115 target/review-2/9
