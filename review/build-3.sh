#!/bin/sh
# Build the stand-ins and clients of the scripts in review/11 to review/15.
# Run it after the build of deploy/system.toml; it writes to target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/11 review/12 review/13 review/14 review/15; do
  [ -f "$folder/play.c" ] || continue
  gcc -std=gnu11 -O2 -Wall -Wextra -Ireview/kit-3 "$folder/play.c" \
    review/kit-3/kit.c -o "target/review-3/case-${folder#review/}" -pthread
done
