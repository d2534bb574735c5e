#!/bin/sh
# Demonstrates the whole path of requests through separate processes on
# loopback: stand-ins for the platform and for endpoints, nine routers in three
# availability zones, the publication of a configuration, and callers.
#
# The environment variables RUNNERS and PLAINS set the number of endpoints of
# the model service, called runners, and of the plain service.

set -u
BUILD=${BUILD:-build}
BASE=${BASE:-27000}
RUNNERS=${RUNNERS:-6}
PLAINS=${PLAINS:-3}
DIR=$(mktemp -d)
here=$(dirname "$0")
. "$here/fleet.sh"
trap 'stop_all; rm -rf "$DIR"' EXIT

note "starting log, instance list, $RUNNERS runners, $PLAINS plain endpoints"
start_platform || exit 1
start_endpoints "$RUNNERS" "$PLAINS"
note "starting 9 routers in 3 availability zones"
start_routers 9
"$BUILD/example-litoral" >"$DIR/config.yaml" || exit 1
publish "$DIR/config.yaml" || exit 1
await_routers 9 || exit 1

ledgers=
i=0
while [ $i -lt "$PLAINS" ]; do
  ledgers="$ledgers $(plain_address $i)"
  i=$((i + 1))
done
# shellcheck disable=SC2086
"$BUILD/standin-caller" --router="$(caller_address 0)" --zone=paysandu --print \
  $ledgers >"$DIR/caller.out"
code=$?
grep '^answer ' "$DIR/caller.out" | sed 's/^/  /'
request=$(sed -n 's/^request //p' "$DIR/caller.out")
note "spans of request $request"
cat "$DIR"/router*.log | grep "hop=" | grep -- "request=$request " \
  | sed 's/^[^ ]* info span: /  /'
grep -v -e '^request ' -e '^answer ' "$DIR/caller.out"

i=0
while [ $i -lt 9 ]; do
  stop "router$i"
  i=$((i + 1))
done
exit $code
