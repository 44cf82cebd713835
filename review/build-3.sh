#!/bin/sh
# Builds the stand-ins of the cases of the third review into target/review-3.
# Run it from the root of the repository after the build of the deploy file.
set -e
mkdir -p target/review-3
for number in 11 12 13 14 15; do
    ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -pthread \
        -o "target/review-3/case-$number" "review/$number/case.c" \
        review/site-3.c
done
