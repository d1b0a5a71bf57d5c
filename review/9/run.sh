#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec build/review-2/cases stale-zone-order review/9/record.txt
