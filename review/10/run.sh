#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec build/review-2/cases late-start-wait review/10/record.txt
