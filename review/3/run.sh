#!/usr/bin/env bash
# Plays the case with the programs that the build line of the deploy file and review/build.sh have built.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonlink ] && [ -x review/bin/harness ] || { echo "build the system and review/build.sh first"; exit 2; }
exec review/bin/harness endless-head review/3
