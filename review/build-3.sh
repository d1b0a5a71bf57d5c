#!/usr/bin/env bash
# Builds the stand-ins of review 3 into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/review-3/stand \
    review/lib-3/stand.c
gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/review-3/worker \
    review/lib-3/worker.c
