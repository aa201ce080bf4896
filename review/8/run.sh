#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tanagerdock-forwarder ] && [ -x bin/review-kit-2 ] || exit 2
exec bin/review-kit-2 bytes review/8/record.txt
