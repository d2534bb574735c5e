#!/bin/sh
# End-to-end tests of the separate processes on loopback.  Each waits for
# readiness and asserts outcomes, not times.

set -u
BUILD=${BUILD:-build}
BASE=${BASE:-28000}
DIR=$(mktemp -d)
here=$(dirname "$0")
. "$here/fleet.sh"
trap 'stop_all; rm -rf "$DIR"' EXIT
passed=0
failed=0

verdict ()
{
  if [ "$2" -eq 0 ]; then
    passed=$((passed + 1))
    note "ok $1"
  else
    failed=$((failed + 1))
    note "FAILED $1"
  fi
}

call ()
{
  "$BUILD/standin-caller" --zone=salto "$@" "$(plain_address 0)" \
    "$(plain_address 1)" "$(plain_address 2)" >"$DIR/caller.out" 2>&1
}

start_platform || exit 1
start_endpoints 6 3
start_routers 9
"$BUILD/example-litoral" >"$DIR/config.yaml" || exit 1
publish "$DIR/config.yaml" || exit 1
await_routers 9 || exit 1

call --router="$(caller_address 4)"
verdict "every request has one outcome and runs once at most" $?

"$BUILD/monsoonspur-config" --log="$(log_url)" --based-on=0 publish \
  "$DIR/config.yaml" >/dev/null 2>&1
[ $? -eq 3 ]
verdict "a publication made from an old generation is refused" $?

stop router2
verdict "a router told to end exits with 0" $?

call --router="$(caller_address 4)"
verdict "requests go on after a router has left" $?

stop router0
"$BUILD/monsoonspur-replay" --journal="$DIR/router0.journal" >"$DIR/replay.out" 2>&1
verdict "a recorded run replays to the same effects" $?
cat "$DIR/replay.out"
sed 's/^\(= answer [0-9]* \)answered/\1failed/' "$DIR/router0.journal" \
  >"$DIR/changed.journal"
"$BUILD/monsoonspur-replay" --journal="$DIR/changed.journal" >/dev/null 2>&1
[ $? -eq 1 ]
verdict "a journal with another effect is told apart" $?

note "$passed passed, $failed failed"
[ $failed -eq 0 ]
