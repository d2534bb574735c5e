#!/bin/sh
# End-to-end tests of nine routers as separate processes on loopback, with
# stand-ins for the platform and for endpoints.  The checks wait for a state
# and compare outcomes, not times.

set -u
BUILD=${BUILD:-build}
BASE=${BASE:-28000}
DIR=$(mktemp -d)
here=$(dirname "$0")
. "$here/fleet.sh"
trap 'stop_all; rm -rf "$DIR"' EXIT

# run_caller ARGUMENTS...: run the load generator, which checks its answers and
# the ledgers of the plain endpoints; print its output if it fails.
run_caller ()
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

run_caller --router="$(caller_address 4)"
verdict "every request has one outcome and runs at most once" $?

"$BUILD/monsoonspur-config" --log="$(log_url)" --based-on=0 publish \
  "$DIR/config.yaml" >/dev/null 2>&1
[ $? -eq 3 ]
verdict "a publication based on an old generation is refused" $?

stop router2
verdict "a router exits with 0 after SIGTERM" $?

run_caller --router="$(caller_address 4)"
verdict "requests are served after a router has left" $?

# status_of ARGUMENTS...: the HTTP status of the request that curl sends with
# ARGUMENTS, 000 without an answer.
status_of ()
{
  curl --silent --noproxy '*' --max-time 20 --output /dev/null \
    --write-out '%{http_code}' "$@"
}

service="http://$(caller_address 4)/services"
[ "$(status_of -d x "$service/agronomo/run")" = 400 ]
verdict "a request without a team is refused" $?
[ "$(status_of -H 'Monsoonspur-Team: nobody' -d x "$service/agronomo/run")" = 403 ]
verdict "an unknown team is refused" $?
[ "$(status_of -H 'Monsoonspur-Team: silo-01' -d x "$service/none/run")" = 404 ]
verdict "an unknown service is refused" $?
long=$(head -c 20000 /dev/zero | tr '\0' x)
status=$(status_of -H "Long: $long" -H 'Monsoonspur-Team: silo-01' -d x \
  "$service/agronomo/run")
[ "$status" = 413 ] || [ "$status" = 431 ] || [ "$status" = 400 ] \
  || [ "$status" = 000 ]
verdict "oversized headers are refused or the connection closed" $?
printf 'this is not HTTP\r\n\r\n' \
  | curl --silent --max-time 5 "telnet://$(caller_address 4)" \
    >"$DIR/malformed" 2>&1
! grep -q ' 200 ' "$DIR/malformed" \
  && get "http://$(caller_address 4)/healthz" >/dev/null
verdict "a router stays healthy after a malformed request" $?
head -c 2000000 /dev/zero >"$DIR/large"
[ "$(status_of -H 'Monsoonspur-Team: silo-01' --data-binary "@$DIR/large" \
  "$service/agronomo/run")" = 413 ]
verdict "an oversized body is refused" $?
curl --silent --noproxy '*' --max-time 3 --limit-rate 100 -o /dev/null \
  -H 'Monsoonspur-Team: silo-01' --data-binary "@$DIR/config.yaml" \
  "$service/agronomo/run"
[ "$(status_of -H 'Monsoonspur-Team: silo-01' -d 'whole cost=5' \
  "$service/agronomo/run")" = 200 ]
verdict "requests are served after a slow caller has disconnected" $?
[ "$(status_of -H 'Monsoonspur-Team: silo-01' -H 'Idempotency-Key: k1' \
  -d 'whole cost=5 first' "$service/silo-mando/run")" = 200 ] \
  && [ "$(status_of -H 'Monsoonspur-Team: silo-01' -H 'Idempotency-Key: k1' \
    -d 'whole cost=5 first' \
    "http://$(caller_address 7)/services/silo-mando/run")" = 200 ] \
  && cat <<END >"$DIR/runs"
$(get "http://$(plain_address 0)/ledger")
$(get "http://$(plain_address 1)/ledger")
$(get "http://$(plain_address 2)/ledger")
END
[ "$(grep -c '"whole cost=5 first":1' "$DIR/runs")" = 1 ]
verdict "a request repeated with its key through another router runs once" $?

# The endpoints run these requests and then answer with a status that promises
# that they have not.
for status in 408 421 429 503; do
  [ "$(status_of -H 'Monsoonspur-Team: silo-01' -d "plain status=$status" \
    "$service/silo-mando/run")" = 502 ]
  verdict "a promise that a request which ran has not run is replaced ($status)" $?
done

[ "$(status_of -H 'Monsoonspur-Team: silo-01' -d "stream status=500" \
  "$service/silo-mando/run")" = 500 ]
verdict "an error in the type of event streams is passed on with its status" $?

# The endpoints run these requests and then answer with what is no answer.
for kind in status interim large switch name control length chunks folded \
  trailer cut empty continue; do
  status=$(curl --silent --noproxy '*' --max-time 20 --output "$DIR/odd" \
    --write-out '%{http_code}' -H 'Monsoonspur-Team: silo-01' \
    -d "plain odd=$kind" "$service/silo-mando/run")
  [ "$status" = 502 ] && ! grep -q odd "$DIR/odd"
  verdict "what is no answer by HTTP's grammar gets 502 ($kind)" $?
done
head -c 900000 /dev/zero >"$DIR/upload"
# refused_uploads PATH: whether all of eight uploads to PATH get 502.
refused_uploads ()
{
  for i in 1 2 3 4 5 6 7 8; do
    # A request that broke two connections is not sent again.
    echo "$1 $i" >>"$DIR/upload"
    [ "$(status_of -H 'Monsoonspur-Team: silo-01' -H 'Expect:' \
      --data-binary "@$DIR/upload" "$service/silo-mando/$1")" = 502 ] \
      || return 1
  done
}
refused_uploads early
verdict "an answer that is reset beside the upload gets 502" $?
refused_uploads early-end
verdict "an answer that is reset behind its end beside the upload gets 502" $?

extra=0
for i in 1 2 3 4 5 6 7 8; do
  [ "$(status_of -H 'Monsoonspur-Team: silo-01' -d "plain extra $i" \
    "$service/silo-mando/run")" = 200 ] && extra=$((extra + 1))
done
[ $extra -eq 8 ]
verdict "a refusal that an endpoint writes behind an answer meets no other request" $?

# The argument takes the availability zone salto out of service.
"$BUILD/example-litoral" salto >"$DIR/out.yaml"
generation=$(publish "$DIR/out.yaml" \
  | sed -n 's/^published generation=\([0-9]*\) .*/\1/p')
# in_force: whether router 8 has applied the generation $generation.
in_force ()
{
  get "http://$(caller_address 8)/v1/status" \
    | grep -q "\"generation\":$generation,"
}
await 10 in_force
verdict "a publication takes effect" $?
run_caller --router="$(caller_address 4)"
verdict "requests are served while an availability zone is out of service" $?

"$BUILD/monsoonspur-config" --log="$(log_url)" diff "$DIR/out.yaml" >/dev/null
same=$?
"$BUILD/monsoonspur-config" --log="$(log_url)" diff "$DIR/config.yaml" \
  >"$DIR/diff"
[ $? -eq 1 ] && [ $same -eq 0 ] && grep -q 'salto: in_service: false -> true' "$DIR/diff"
verdict "diff shows the differences from the configuration in force" $?
"$BUILD/monsoonspur-config" --log="$(log_url)" print \
  | grep -q "^# generation: $generation$"
verdict "print shows the configuration in force" $?

digest=$(printf 'open sesame' | sha256sum | cut -d ' ' -f 1)
sed "s/^- name: silo-16$/&\n  key_digests: [$digest]/" "$DIR/config.yaml" \
  >"$DIR/keys.yaml"
generation=$(publish "$DIR/keys.yaml" \
  | sed -n 's/^published generation=\([0-9]*\) .*/\1/p')
await 10 in_force
# keyed_team_status ARGUMENTS...: the HTTP status of a request of team silo-16,
# whose API key ARGUMENTS may give, through router 8.
keyed_team_status ()
{
  status_of -H 'Monsoonspur-Team: silo-16' -d 'whole cost=5' "$@" \
    "http://$(caller_address 8)/services/agronomo/run"
}
[ "$(keyed_team_status)" = 401 ] \
  && [ "$(keyed_team_status -H 'Authorization: Bearer wrong')" = 401 ] \
  && [ "$(keyed_team_status -H 'Authorization: Bearer open sesame')" = 200 ]
verdict "a team with API keys is served only with one of them" $?
trace=0af7651916cd43dd8448eb211c80319c
status_of -H 'Monsoonspur-Team: silo-01' -d 'whole cost=5' \
  -H "traceparent: 00-$trace-b7ad6b7169203331-01" "$service/agronomo/run" \
  >/dev/null
[ "$(grep -c "trace=$trace .*hop=" "$DIR/router4.log")" = 3 ]
verdict "a caller's trace ID appears on all three hops" $?

no_open_requests ()
{
  get "http://$(caller_address 4)/v1/status" | grep -q '"open_requests":0,'
}

curl --silent --noproxy '*' --max-time 1 -o /dev/null \
  -H 'Monsoonspur-Team: silo-01' -d 'stream cost=10000' "$service/agronomo/run"
await 10 no_open_requests
verdict "a stream ends when its caller disconnects" $?
curl --silent --noproxy '*' --max-time 1 -o /dev/null \
  -H 'Monsoonspur-Team: silo-01' -d 'whole cost=10000' "$service/agronomo/run"
await 10 no_open_requests
verdict "a request ends when its caller disconnects" $?

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
verdict "a router reports that it cannot read the log" $?
[ "$(status_of -H 'Monsoonspur-Team: silo-01' -H 'Idempotency-Key: k2' \
  -d 'whole cost=5 second' "$service/silo-mando/run")" = 503 ]
verdict "a request with an idempotency key is refused without the log" $?
[ "$(status_of -H 'Monsoonspur-Team: silo-01' -d 'whole cost=5' \
  "$service/agronomo/run")" = 200 ]
verdict "idempotent requests are served while the log is down" $?
log_mode lose_answers
await 10 stale_is false
[ "$(status_of -H 'Monsoonspur-Team: silo-01' -H 'Idempotency-Key: k3' \
  -d 'whole cost=5 third' "$service/silo-mando/run")" = 200 ]
verdict "an append whose answer is lost is confirmed by reading the log" $?
log_mode up

kill -STOP "$(pid_of router7)"
run_caller --router="$(caller_address 4)" --avoid="$(caller_address 7)"
verdict "requests are served while a router is suspended" $?
kill -CONT "$(pid_of router7)"
stop router6 KILL
run_caller --router="$(caller_address 4)" --avoid="$(caller_address 6)"
verdict "requests are served after a router was killed" $?

request=$(sed -n 's/^request //p' "$DIR/caller.out")
receiver=$(echo "$request" | sed 's/^router-\([0-9]*\)-.*/\1/')
"$BUILD/monsoonspur-ctl" --router="$(caller_address "$receiver")" \
  explain "$request" | grep -q '"outcome":"answered"'
verdict "the router that received a request explains it" $?

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
stream_pid=$!
one_open_request ()
{
  get "http://$(caller_address 8)/v1/status" | grep -q '"open_requests":1,'
}
await 10 one_open_request
kill -TERM "$(pid_of router8)"
draining ()
{
  get "http://$(caller_address 8)/v1/status" | grep -q '"draining":true'
}
await 10 draining
kill -TERM "$(pid_of router8)"
wait "$(pid_of router8)"
[ $? -eq 3 ] && grep -q 'cut off count=1' "$DIR/router8.log"
verdict "a second SIGTERM ends a router at once and logs what it cut off" $?
wait "$stream_pid" 2>/dev/null

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
verdict "replay detects a journal with a changed effect" $?

note "$passed passed, $failed failed"
[ $failed -eq 0 ]
