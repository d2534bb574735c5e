#!/bin/sh
# Build the stand-ins of all cases into review/bin.  They need a C compiler and
# the C library only.
cd "$(dirname "$0")/.." || exit 1
mkdir -p review/bin
for source in review/*/case.c; do
  case=$(basename "$(dirname "$source")")
  ${CC:-cc} -std=gnu11 -O1 -g -Wall -Wextra -Ireview/kit \
    -o "review/bin/case$case" "$source" review/kit/kit.c -pthread || exit 1
done
