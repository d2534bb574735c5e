#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -Wall -Wextra -O2 -pthread"
${CC:-cc} $flags -o "$out/freeport" review/kit-2/freeport.c
for case in review/kit-2/case-*.c; do
  name=$(basename "$case" .c)
  ${CC:-cc} $flags -o "$out/$name" "$case" review/kit-2/kit.c
done
