#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Needs the packages of the
# deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for folder in [1-5]; do
    [ -f "$folder/case.c" ] || continue
    ${CC:-cc} -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE \
        "$folder/case.c" common/site.c common/clients.c -o "bin/case-$folder" \
        $(pkg-config --cflags --libs jansson) -lpthread
done
