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
call ()
{
  "$BUILD/standin-caller" --zone=salto "$@" "$(plain_address 0)" \
    "$(plain_address 1)" "$(plain_address 2)" >"$DIR/caller.out" 2>&1 \
    && return
  cat "$DIR/caller.out"
  return 1
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

# code_of ARGUMENTS...: the HTTP status of one request to router 4.
code_of ()
{
  curl --silent --noproxy '*' --max-time 20 --output /dev/null \
    --write-out '%{http_code}' "$@"
}

service="http://$(caller_address 4)/services"
[ "$(code_of -d x "$service/agronomo/run")" = 400 ]
verdict "a request without a team is refused" $?
[ "$(code_of -H 'Monsoonspur-Team: nobody' -d x "$service/agronomo/run")" = 403 ]
verdict "an unknown team is refused" $?
[ "$(code_of -H 'Monsoonspur-Team: silo-01' -d x "$service/none/run")" = 404 ]
verdict "an unknown service is refused" $?
long=$(head -c 20000 /dev/zero | tr '\0' x)
code=$(code_of -H "Long: $long" -H 'Monsoonspur-Team: silo-01' -d x \
  "$service/agronomo/run")
[ "$code" = 413 ] || [ "$code" = 431 ] || [ "$code" = 400 ] \
  || [ "$code" = 000 ]
verdict "oversized headers are refused or the connection closed" $?
printf 'this is not HTTP\r\n\r\n' \
  | curl --silent --max-time 5 "telnet://$(caller_address 4)" \
    >"$DIR/malformed" 2>&1
! grep -q ' 200 ' "$DIR/malformed" \
  && get "http://$(caller_address 4)/healthz" >/dev/null
verdict "a malformed request costs the others nothing" $?
head -c 2000000 /dev/zero >"$DIR/large"
[ "$(code_of -H 'Monsoonspur-Team: silo-01' --data-binary "@$DIR/large" \
  "$service/agronomo/run")" = 413 ]
verdict "an oversized body is refused" $?
curl --silent --noproxy '*' --max-time 3 --limit-rate 100 -o /dev/null \
  -H 'Monsoonspur-Team: silo-01' --data-binary "@$DIR/config.yaml" \
  "$service/agronomo/run"
[ "$(code_of -H 'Monsoonspur-Team: silo-01' -d 'whole cost=5' \
  "$service/agronomo/run")" = 200 ]
verdict "a slow caller that goes away costs others nothing" $?
[ "$(code_of -H 'Monsoonspur-Team: silo-01' -H 'Idempotency-Key: k1' \
  -d 'whole cost=5 first' "$service/silo-mando/run")" = 200 ] \
  && [ "$(code_of -H 'Monsoonspur-Team: silo-01' -H 'Idempotency-Key: k1' \
    -d 'whole cost=5 first' \
    "http://$(caller_address 7)/services/silo-mando/run")" = 200 ] \
  && cat <<END >"$DIR/runs"
$(get "http://$(plain_address 0)/ledger")
$(get "http://$(plain_address 1)/ledger")
$(get "http://$(plain_address 2)/ledger")
END
[ "$(grep -c '"whole cost=5 first":1' "$DIR/runs")" = 1 ]
verdict "a key sent again through another router runs once" $?

"$BUILD/example-litoral" salto >"$DIR/out.yaml"
generation=$(publish "$DIR/out.yaml" \
  | sed -n 's/^published generation=\([0-9]*\) .*/\1/p')
in_force ()
{
  get "http://$(caller_address 8)/v1/status" \
    | grep -q "\"generation\":$generation,"
}
await 10 in_force
verdict "a publication comes in force" $?
call --router="$(caller_address 4)"
verdict "requests go on while an availability zone is out" $?

"$BUILD/monsoonspur-config" --log="$(log_url)" diff "$DIR/out.yaml" >/dev/null
same=$?
"$BUILD/monsoonspur-config" --log="$(log_url)" diff "$DIR/config.yaml" \
  >"$DIR/diff"
[ $? -eq 1 ] && [ $same -eq 0 ] && grep -q 'salto: in_service: false -> true' "$DIR/diff"
verdict "a difference from the configuration in force is shown" $?
"$BUILD/monsoonspur-config" --log="$(log_url)" print \
  | grep -q "^# generation: $generation$"
verdict "the configuration in force is printed" $?

digest=$(printf 'open sesame' | sha256sum | cut -d ' ' -f 1)
sed "s/^- name: silo-16$/&\n  key_digests: [$digest]/" "$DIR/config.yaml" \
  >"$DIR/keys.yaml"
generation=$(publish "$DIR/keys.yaml" \
  | sed -n 's/^published generation=\([0-9]*\) .*/\1/p')
await 10 in_force
keyed ()
{
  code_of -H 'Monsoonspur-Team: silo-16' -d 'whole cost=5' "$@" \
    "http://$(caller_address 8)/services/agronomo/run"
}
[ "$(keyed)" = 401 ] && [ "$(keyed -H 'Authorization: Bearer wrong')" = 401 ] \
  && [ "$(keyed -H 'Authorization: Bearer open sesame')" = 200 ]
verdict "a team with keys is served only with one" $?
trace=0af7651916cd43dd8448eb211c80319c
code_of -H 'Monsoonspur-Team: silo-01' -d 'whole cost=5' \
  -H "traceparent: 00-$trace-b7ad6b7169203331-01" "$service/agronomo/run" \
  >/dev/null
[ "$(grep -c "trace=$trace .*hop=" "$DIR/router4.log")" = 3 ]
verdict "a caller's trace goes on over the three hops" $?

idle ()
{
  get "http://$(caller_address 4)/v1/status" | grep -q '"open_requests":0,'
}

curl --silent --noproxy '*' --max-time 1 -o /dev/null \
  -H 'Monsoonspur-Team: silo-01' -d 'stream cost=10000' "$service/agronomo/run"
await 10 idle
verdict "a caller that goes away ends its stream" $?
curl --silent --noproxy '*' --max-time 1 -o /dev/null \
  -H 'Monsoonspur-Team: silo-01' -d 'whole cost=10000' "$service/agronomo/run"
await 10 idle
verdict "a caller that goes away ends its request" $?

log_mode ()
{
  get "$(log_url)/control?mode=$1" >/dev/null
}

stale_is ()
{
  get "http://$(caller_address 4)/v1/status" | grep -q "\"log_stale\":$1,"
}

log_mode down
await 10 stale_is true
verdict "a router tells that it cannot read the log" $?
[ "$(code_of -H 'Monsoonspur-Team: silo-01' -H 'Idempotency-Key: k2' \
  -d 'whole cost=5 second' "$service/silo-mando/run")" = 503 ]
verdict "a key is refused while the log is down" $?
[ "$(code_of -H 'Monsoonspur-Team: silo-01' -d 'whole cost=5' \
  "$service/agronomo/run")" = 200 ]
verdict "idempotent requests go on while the log is down" $?
log_mode lose_answers
await 10 stale_is false
[ "$(code_of -H 'Monsoonspur-Team: silo-01' -H 'Idempotency-Key: k3' \
  -d 'whole cost=5 third' "$service/silo-mando/run")" = 200 ]
verdict "a key is settled by reading back when the answer is lost" $?
log_mode up

kill -STOP "$(pid_of router7)"
call --router="$(caller_address 4)" --avoid="$(caller_address 7)"
verdict "requests go on while a router is frozen" $?
kill -CONT "$(pid_of router7)"
stop router6 KILL
call --router="$(caller_address 4)" --avoid="$(caller_address 6)"
verdict "requests go on after a router was killed" $?

request=$(sed -n 's/^request //p' "$DIR/caller.out")
owner=$(echo "$request" | sed 's/^router-\([0-9]*\)-.*/\1/')
"$BUILD/monsoonspur-ctl" --router="$(caller_address "$owner")" \
  explain "$request" | grep -q '"outcome":"answered"'
verdict "a request is explained by the router that took it" $?

"$BUILD/monsoonspur-ctl" --router="$(caller_address 5)" --key=wrong drain \
  >/dev/null
[ $? -eq 1 ]
verdict "a drain with a wrong key is refused" $?

"$BUILD/monsoonspur-ctl" --router="$(caller_address 5)" --key=demo-operator \
  drain >/dev/null && wait "$(pid_of router5)"
verdict "a drained router exits with 0" $?

curl --silent --noproxy '*' --max-time 30 -o /dev/null \
  -H 'Monsoonspur-Team: silo-01' -d 'stream cost=10000' \
  "http://$(caller_address 8)/services/agronomo/run" &
streaming=$!
busy ()
{
  get "http://$(caller_address 8)/v1/status" | grep -q '"open_requests":1,'
}
await 10 busy
kill -TERM "$(pid_of router8)"
draining ()
{
  get "http://$(caller_address 8)/v1/status" | grep -q '"draining":true'
}
await 10 draining
kill -TERM "$(pid_of router8)"
wait "$(pid_of router8)"
[ $? -eq 3 ] && grep -q 'cut off count=1' "$DIR/router8.log"
verdict "a second SIGTERM ends a router at once and says what was cut" $?
wait "$streaming" 2>/dev/null

stop router0
"$BUILD/monsoonspur-replay" --journal="$DIR/router0.journal" >"$DIR/replay.out" 2>&1
verdict "a recorded run replays to the same effects" $?
cat "$DIR/replay.out"
"$BUILD/monsoonspur-replay" --extract="$DIR/router0.journal" \
  >"$DIR/live.trace" \
  && "$BUILD/monsoonspur-replay" -m --policy=fair --policy=first_come \
    "$DIR/live.trace" >"$DIR/replay.out" 2>&1
verdict "recorded arrivals are replayed under two policies" $?
cat "$DIR/replay.out"
sed 's/^\(= answer [0-9]* \)answered/\1failed/' "$DIR/router0.journal" \
  >"$DIR/changed.journal"
"$BUILD/monsoonspur-replay" --journal="$DIR/changed.journal" >/dev/null 2>&1
[ $? -eq 1 ]
verdict "a journal with another effect is told apart" $?

note "$passed passed, $failed failed"
[ $failed -eq 0 ]
