#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh.  With TROUBLE=0 the
# disruption is left out.
# exit 1: the rule was broken; 0: it held; 2: the case could not run
cd "$(dirname "$0")/../.." || exit 2
exec build/review-2/cases late-start-wait review/10/record.txt "${TROUBLE:-1}"
