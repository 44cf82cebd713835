#!/bin/bash
# Builds the stand-ins of the cases of review/REPORT-2.md into target/review-2.
# Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/case-2-*.c; do
    name=$(basename "$source" .c)
    gcc -std=gnu11 -Wall -Wextra -O2 -g -D_GNU_SOURCE \
        "$source" review/world-2.c -o "target/review-2/${name#case-2-}" \
        $(pkg-config --cflags --libs jansson) -lpthread
done
