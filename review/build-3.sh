#!/bin/sh
# Builds the stand-ins of the cases of the third review into target/review-3.
# Run it from the root of the repository after the build of the deploy file.
set -e
mkdir -p target/review-3
for case in review/stand-ins-3/case-*.c; do
    name=$(basename "$case" .c)
    ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -pthread -o "target/review-3/$name" \
        "$case" review/stand-ins-3/site.c
done
