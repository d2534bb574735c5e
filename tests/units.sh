#!/bin/sh
# units.sh PROGRAM...: run the unit test programs, up to UNIT_JOBS at a time.  A
# failed test that KNOWN-RED.txt lists is printed and does not fail the run.

set -u
UNIT_JOBS=${UNIT_JOBS:-4}
here=$(dirname "$0")
. "$here/fleet.sh"
outputs=$(mktemp -d)
trap 'rm -rf "$outputs"' EXIT

printf '%s\n' "$@" | xargs -P "$UNIT_JOBS" -I '{}' sh -c \
  '"$1" >"$2/$(basename "$1")" 2>&1; echo $? >"$2/$(basename "$1").status"' \
  unit '{}' "$outputs"

for program in "$@"; do
  output=$outputs/$(basename "$program")
  status=$(cat "$output.status")
  cat "$output"
  [ "$status" -eq 0 ] && continue
  # The summary lists the failed tests once more; a crash leaves none.
  names=$(sed -n '/listed below:$/,$s/^\[  FAILED  \] \(test_[a-z0-9_]*\)$/\1/p' \
    "$output")
  # A program exits with the number of its failed tests.
  [ "$(echo "$names" | grep -c .)" -eq "$status" ] \
    || verdict "$program exits with $status" 1
  for name in $names; do
    verdict "$name" 1
  done
done
[ $failed -eq 0 ]
