#!/bin/sh
# Tests of orders to move a service to another version, as gateway.sh has them
# for the rest: gateways, stand-ins for the store and for engines as processes on
# loopback.  Played by gateway.sh at its end; also runs alone.

if [ -z "${here:-}" ]; then
  set -u
  BUILD=${BUILD:-build}
  BASE=${BASE:-31000}
  DIR=$(mktemp -d)
  here=$(dirname "$0")
  . "$here/fleet.sh"
  trap 'stop_all; [ -n "${KEEP:-}" ] || rm -rf "$DIR"' EXIT
  . "$here/gateways.sh"
  alone=1
fi

# Settings of the gateways, with which versions are held until the orders were
# read.
SETTINGS='exposure_share: 0.1
exposure_slack: 50
rollback_ms: 5000'

engine_get () { get "http://$(engine_address "$1")/$2"; }

# sum WHAT ENGINE...: the sum of a counter of the engines.
sum ()
{
  what=$1
  shift
  total=0
  for engine in "$@"; do
    total=$((total + $(engine_get "$engine" "$what")))
  done
  echo $total
}

# be_bad QUERY ENGINE...: let the engines answer badly, as PUT /bad of engine.c
# says.
be_bad ()
{
  query=$1
  shift
  for engine in "$@"; do
    get -X PUT "http://$(engine_address "$engine")/bad?$query" >/dev/null
  done
}

# order TO SECONDS [SERVICE]: write the operators' order.
order ()
{
  store_put keyed.op "rollout/${3:-app}" \
    "{\"service\":\"${3:-app}\",\"to\":\"$1\",\"duration_s\":$2}"
}

# state: the value of the state of the service app in the store.
state ()
{
  get "$(store_url)/log-newest?topic=keyed.status&part=0" \
    | sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d
}
# state_is TO STATE: whether the store has it.
state_is () { state | grep "\"to\":\"$1\"" | grep -q "\"state\":\"$2\""; }

# load GATEWAY CALLER: a caller of a gateway, until stop_load.  No two requests are alike,
# since those that are there when endpoints end would be quarantined.
load ()
{
  i=0
  while [ -d "$DIR" ] && [ ! -e "$DIR/no_load" ]; do
    i=$((i + 1))
    for path in a b; do
      curl --silent --noproxy '*' --max-time 20 -H 'Host: h' \
        -H 'X-Request-Attempt-Id: load' -H 'X-Deadline-Remaining-Ms: 4000' \
        -o /dev/null -w '%{http_code}\n' \
        "$(caller_url "$1")/open/slow/$path?ms=40&q=$2-$i-[1-20]"
    done >>"$DIR/load$1"
  done
}
loads=
start_load ()
{
  rm -f "$DIR/no_load" "$DIR"/load[123]
  for n in 1 2 3; do
    for caller in 1 2 3 4; do
      load $n $caller &
      loads="$loads $!"
    done
  done
}
stop_load ()
{
  touch "$DIR/no_load"
  wait $loads
  loads=
}

# failures: how many callers got no 200.
failures () { cat "$DIR"/load[123] | grep -vc 200; }

# grows COUNTER ENGINE...: whether it grows within a second.
grows ()
{
  before=$(sum "$@")
  sleep 1
  [ "$(sum "$@")" -gt "$before" ]
}

# stay_out ENGINE...: whether nothing reaches the engines any more, once all
# gateways had time to hear of the state that the store has.  Digests come every
# 100 ms, later beside load; rollback_ms allows 5 s.
stay_out ()
{
  sleep 0.5
  ! grows total "$@"
}

# logged PATTERN: whether all gateways logged it.
logged ()
{
  for n in 1 2 3; do
    grep -q "$1" "$DIR/gateway$n.log" || return 1
  done
}

# replace_engines VERSION ENGINE...: start the engines again as ones of VERSION,
# not listed yet.
replace_engines ()
{
  version=$1
  shift
  for engine in "$@"; do
    stop "engine$engine" KILL
    start "engine$engine" "$BUILD/standin-engine" \
      --address="$(engine_address "$engine")" --name="e$engine-$version" \
      --keep-alive
  done
  for engine in "$@"; do
    await 10 engine_get "$engine" total
  done
}
# put_engines VERSION STATE ENGINE...: write their entries; STATE may be gone.
# Later versions were started later.
put_engines ()
{
  version=$1
  entry_state=$2
  shift 2
  for engine in "$@"; do
    entry="{\"service\":\"app\",\"address\":\"$(engine_address "$engine")\",\
\"zone\":\"a\",\"slots\":8,\"state\":\"$entry_state\",\"cold_remaining_ms\":0,\
\"sequence\":1,\"version\":\"$version\",\"born\":$((1000 + ${version#v}))}"
    [ "$entry_state" != gone ] || entry=
    store_put keyed.servers "e$engine-$version" "$entry"
  done
}

# restart_gateway NUMBER: kill it if it runs, keep its log and start it.
restart_gateway ()
{
  stop "gateway$1" KILL
  if [ -e "$DIR/gateway$1.log" ]; then
    cat "$DIR/gateway$1.log" >>"$DIR/gateway$1.before"
  fi
  start_gateway "$1"
}

# start_gateways: start all, again if they run, and wait until they serve.
start_gateways ()
{
  for n in 1 2 3; do
    stop gateway$n KILL
  done
  for n in 1 2 3; do
    restart_gateway $n
  done
  for n in 1 2 3; do
    await 20 ready $n || exit 1
  done
}

stop_all
until store_port_is_free; do
  BASE=$((BASE + 100))
done
rm -f "$DIR"/engine*.pid "$DIR"/gateway*.pid "$DIR"/gateway*.log
start store "$BUILD/standin-store" --address="127.0.0.1:$BASE"
await 10 get "$(store_url)/log-newest?topic=keyed.op&part=0" || exit 1
publish_config 1 '"k1"'
replace_engines v1 0 1
put_engines v1 ready 0 1
start_gateways
start_load

# A good version, which is listed before its order is written.
replace_engines v2 2 3
put_engines v2 ready 2 3
order v2 6
await 4 state_is v2 running
verdict "an order gets the state running" $?
await 20 state_is v2 completed
verdict "a good version is completed" $?
is "$(sum running 0 1)" 0
verdict "nothing runs at old endpoints when a rollout is completed" $?
! grows total 0 1 && grows total 2 3
verdict "all requests go to the new version when a rollout is completed" $?
put_engines v1 gone 0 1
stop engine0 KILL
stop engine1 KILL
sleep 0.5
is "$(failures)" 0
verdict "callers notice nothing of a rollout to a good version" $?

# bad_version VERSION QUERY ENGINE...: an order for a version that is bad as QUERY
# says, of 6 s.
bad_version ()
{
  to=$1
  query=$2
  shift 2
  replace_engines "$to" "$@"
  be_bad "$query" "$@"
  all_before=$(($(sum total 2 3) + $(sum total "$@")))
  put_engines "$to" ready "$@"
  order "$to" 6
}
# rolls_back VERSION ENGINE...: whether the order is rolled back, nothing reaches
# the version afterwards and not too much has before.
rolls_back ()
{
  to=$1
  shift
  await 20 state_is "$to" rolled_back || return 1
  sleep 0.2
  exposed=$(sum total "$@")
  all=$(($(sum total 2 3) + exposed - all_before))
  note "$to: $exposed of $all requests, $(sum bad "$@") bad"
  [ "$exposed" -gt 0 ] && [ "$exposed" -le $((all / 10 + 50)) ] \
    && stay_out "$@"
}
bad_version v3 'kind=fail&percent=40' 0 1
rolls_back v3 0 1
verdict "a version that fails is rolled back within its exposure" $?
put_engines v3 gone 0 1
bad_version v4 'kind=slow' 0 1
rolls_back v4 0 1
verdict "a version that is slow is rolled back within its exposure" $?
put_engines v4 gone 0 1
bad_version v5 'kind=fail&after_ms=2500' 0 1
rolls_back v5 0 1
verdict "a version that fails after a time is rolled back within its exposure" $?
put_engines v5 gone 0 1
bad_version v6 'kind=fail&percent=80&path=/slow/b' 0 1
rolls_back v6 0 1
verdict "a version that fails on one path is rolled back within its exposure" $?
put_engines v6 gone 0 1

# An order that is repeated.
bad_version v7 'kind=none' 0 1
await 4 state_is v7 running
# Until all gateways know it.
sleep 1
order v7 6
await 20 state_is v7 completed
is "$(grep -c 'event=rollout .* to=v7 phase=canary reason=order' "$DIR/gateway1.log")" 1 \
  && is "$(grep -c 'event=rollout_order service=app to=v7' "$DIR/gateway1.log")" 2
verdict "an order that is repeated while it runs goes on" $?
order v7 6
await 4 state_is v7 running
verdict "an order that is repeated after its end is a new one" $?
await 20 state_is v7 completed

# From now on, engines 0 and 1 serve.
put_engines v2 gone 2 3
stop engine2 KILL
stop engine3 KILL
failed_before=$(failures)
order v8 2
await 10 state_is v8 rolled_back
verdict "an order for a version without endpoints is rolled back" $?
is "$(failures)" "$failed_before" && grows total 0 1
verdict "an order for a version without endpoints moves nothing" $?
order v8 2 nobody
await 5 logged 'event=rollout_skipped service=nobody'
verdict "an order for a service that nobody knows is logged" $?
store_put keyed.op rollout/app '{"service":"app","to":"v8"}'
await 5 logged 'event=rollout_skipped error="rollout of app: duration_s'
verdict "an order that lacks a field is logged" $?

# The store is down while the gateways decide.
replace_engines v9 2 3
be_bad 'kind=fail&after_ms=2000' 2 3
put_engines v9 ready 2 3
order v9 10
await 4 state_is v9 running
store_mode down
await 10 logged 'event=rollout .* to=v9 phase=stopped'
stay_out 2 3
verdict "gateways stop a bad version while the store is down" $?
store_mode up
await 10 state_is v9 rolled_back
verdict "the state of an order is written once the store is back" $?
put_engines v9 gone 2 3

# An order that is removed.
replace_engines v10 2 3
put_engines v10 ready 2 3
order v10 8
await 4 state_is v10 running
store_put keyed.op rollout/app ''
await 4 state_is v10 rolled_back && stay_out 2 3
verdict "an order that is removed is rolled back" $?
# A gateway that starts now knows of it by the state only.
restart_gateway 3
await 20 ready 3
sleep 1
stay_out 2 3
verdict "a gateway that starts later keeps from a version that was rolled back" $?
put_engines v10 gone 2 3

# All gateways are killed in the middle of an order.
replace_engines v11 2 3
put_engines v11 ready 2 3
order v11 8
await 4 state_is v11 running
sleep 1
start_gateways
await 20 state_is v11 completed
verdict "an order is completed though all gateways were killed" $?
# The age of the order when it ended; its start is known to within the delays of
# the first second.
age=$(sed -n 's/.* to=v11 phase=moving .* age_ms=\([0-9]*\) .*/\1/p' \
  "$DIR/gateway1.log" | tail -1)
[ "${age:-0}" -ge 3000 ] && [ "${age:-0}" -le 11000 ]
verdict "started gateways know the time of an order from the store" $?
put_engines v7 gone 0 1

# The store comes back from an older copy that lacks a state.
copy_store
replace_engines v12 0 1
be_bad 'kind=fail' 0 1
put_engines v12 ready 0 1
order v12 6
await 10 state_is v12 rolled_back
restore_store
put_engines v11 ready 2 3
put_engines v12 ready 0 1
order v12 6
await 10 state_is v12 rolled_back && stay_out 0 1
verdict "a state that the store has lost is written again" $?

# All gateways are killed during an order for another version while the version
# of the order before, which was rolled back, is still listed.
replace_engines v13 4 5
put_engines v13 ready 4 5
order v13 30
await 4 state_is v13 running
exposed=$(sum total 0 1)
start_gateways
grows total 2 3 && is "$(sum total 0 1)" "$exposed"
verdict "gateways that start keep from a version that an earlier order excluded" $?
stop_load

if [ -n "${alone:-}" ]; then
  note "$passed passed, $failed failed"
  [ "$failed" -eq 0 ]
fi
