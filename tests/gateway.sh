#!/bin/sh
# Tests of gateways as separate processes on loopback, with stand-ins for the
# users' store and for endpoints, here called engines.  The checks wait for a
# state and compare outcomes, not times.  KEEP=1 keeps the scratch folder with
# all logs.  Orders to move a service to another version are in rollouts.sh,
# which this script plays at its end.

set -u
BUILD=${BUILD:-build}
BASE=${BASE:-31000}
DIR=$(mktemp -d)
here=$(dirname "$0")
. "$here/fleet.sh"
trap 'stop_all; [ -n "${KEEP:-}" ] || rm -rf "$DIR"' EXIT
. "$here/gateways.sh"

until store_port_is_free; do
  BASE=$((BASE + 100))
done
sed 's/^caller_address: .*/caller_address: "nowhere"/' "$here/settings.yaml" \
  >"$DIR/wrong.yaml"
"$BUILD/monsoonspur-gateway" --check --settings="$here/settings.yaml"
verdict "--check accepts valid settings" $?
"$BUILD/monsoonspur-gateway" --check --settings="$DIR/wrong.yaml" \
  2>"$DIR/message"
is $? 1 && grep -q 'wrong.yaml: line 5: caller_address: "nowhere"' \
  "$DIR/message"
verdict "--check names file, line and field of an invalid address" $?
sed 's/^name: .*/name: "g 1"/' "$here/settings.yaml" >"$DIR/wrong.yaml"
"$BUILD/monsoonspur-gateway" --check --settings="$DIR/wrong.yaml" \
  2>"$DIR/message"
is $? 1 && grep -q 'wrong.yaml: line 1: name: "g 1" is not a name' \
  "$DIR/message"
verdict "--check names file, line and field of an invalid name" $?
sed 's/^retry_window_s: .*/retry_window_s: 0/' "$here/settings.yaml" \
  >"$DIR/wrong.yaml"
"$BUILD/monsoonspur-gateway" --check --settings="$DIR/wrong.yaml" \
  2>"$DIR/message"
is $? 1 && grep -q 'wrong.yaml: line [0-9]*: retry_window_s: 0 is not within' \
  "$DIR/message"
verdict "--check names file, line and field of a number out of range" $?
sed 's/^directory_ttl_s: .*/crossing: "none"\n&/' "$here/settings.yaml" \
  >"$DIR/wrong.yaml"
"$BUILD/monsoonspur-gateway" --check --settings="$DIR/wrong.yaml" \
  2>"$DIR/message"
is $? 1 && grep -q 'wrong.yaml: line [0-9]*: crossing: "none" is not' \
  "$DIR/message"
verdict "--check names file, line and field of an unknown crossing policy" $?
sed 's/^directory_ttl_s: .*/server_load: "maybe"\n&/' "$here/settings.yaml" \
  >"$DIR/wrong.yaml"
"$BUILD/monsoonspur-gateway" --check --settings="$DIR/wrong.yaml" \
  2>"$DIR/message"
is $? 1 && grep -q 'wrong.yaml: line [0-9]*: server_load: "maybe" is neither' \
  "$DIR/message"
verdict "--check names file, line and field of an unknown use of loads" $?
sed 's/^directory_ttl_s: .*/returns: "none"\n&/' "$here/settings.yaml" \
  >"$DIR/wrong.yaml"
"$BUILD/monsoonspur-gateway" --check --settings="$DIR/wrong.yaml" \
  2>"$DIR/message"
is $? 1 && grep -q 'wrong.yaml: line [0-9]*: returns: "none" is neither' \
  "$DIR/message"
verdict "--check names file, line and field of an unknown value of returns" $?
sed 's/^directory_ttl_s: .*/engine_speed: "none"\n&/' "$here/settings.yaml" \
  >"$DIR/wrong.yaml"
"$BUILD/monsoonspur-gateway" --check --settings="$DIR/wrong.yaml" \
  2>"$DIR/message"
is $? 1 && grep -q 'wrong.yaml: line [0-9]*: engine_speed: "none" is neither' \
  "$DIR/message"
verdict "--check names file, line and field of an unknown engine_speed" $?
start store "$BUILD/standin-store" --address="127.0.0.1:$BASE"
await 10 get "$(store_url)/log-newest?topic=keyed.op&part=0" || exit 1
start_gateway 1
await 10 answers_not_ready 1
verdict "a gateway without a configuration is not ready" $?
request 1 /any/x
is "$status" 503 && head_has '^Retry-After:'
verdict "a gateway without a configuration answers 503 with Retry-After" $?

publish_config 1 '"k1"'
start_engine 0
start_engine 1
start_gateway 2
start_gateway 3
for n in 1 2 3; do
  await 20 ready $n || exit 1
done

request 1 '/any/x?q=1'
is "$status" 200 && head_has '^X-Response-Signature: s' \
  && body_has '"team":"t1"' && body_has '"key":""' && body_has '"query":"q=1"'
verdict "an endpoint gets the team's name but not the API key" $?

head -c 50000 /dev/urandom >"$DIR/data"
request 1 /once/x -X POST --data-binary "@$DIR/data" -H 'X-Hold: forged' \
  -H 'X-Tenant: forged'
plain_sum=$(grep -o '"sum":[0-9]*' "$DIR/body")
is "$status" 200 && body_has '"length":50000' && body_has '"hold":""' \
  && body_has '"team":"t1"'
verdict "a body arrives complete, forged internal headers do not" $?
request 2 /once/x -X POST -H 'Transfer-Encoding: chunked' \
  --data-binary "@$DIR/data"
is "$status" 200 && is "$plain_sum" "$(grep -o '"sum":[0-9]*' "$DIR/body")"
verdict "a chunked body arrives unchanged" $?

metrics () { get "http://$(ip 1):$((BASE + 4))/metrics" >"$DIR/metrics"; }
all_alive () { metrics && grep -q '^monsoonspur_routers_alive 3' "$DIR/metrics"; }
await 10 all_alive \
  && grep -q '^monsoonspur_requests_total{result="answered"} [1-9]' "$DIR/metrics" \
  && grep -q '^monsoonspur_total_seconds_bucket' "$DIR/metrics"
verdict "the control address serves counters and histograms" $?

# prompt GATEWAY PART: send a request unlike all others with this part, among
# parts that sound requests have as well.
prompt ()
{
  request "$1" "/once/prompt$ids" -X POST -d "$ids" \
    -H 'X-Token-Counts: 4,10' -H "X-Prompt-Prefix: a1:1,$2:1,c3:1,$ids:1"
}
# part_refused: whether all gateways refuse the part that crashes endpoints.
part_refused ()
{
  for n in 1 2 3; do
    prompt $n dead
    is "$status" 503 && is "$(run_count $id)" 0 || return 1
  done
}
start_engine 2
start_engine 3
engines="0 1 2 3"
prompt 1 b2
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16; do
  prompt $((i % 3 + 1)) dead
  prompt $((i % 3 + 1)) "b$i"
  sleep 0.4
done
part_refused
verdict "requests unlike each other with a part that crashes endpoints are refused" $?
sound=0
for i in 1 2 3 4 5 6; do
  prompt $((i % 3 + 1)) "b$i"
  is "$status" 200 && sound=$((sound + 1))
done
is $sound 6
verdict "requests with the other parts of one that crashes endpoints are served" $?
# last_event GATEWAY PART: the last event of this gateway on this part.
last_event ()
{
  sed -n "s/.* event=\(part_[a-z]*\) part=$2 .*/\1/p" "$DIR/gateway$1.log" \
    | tail -1
}
# knows_parts: whether gateway 3 knows what gateway 1 does of parts under trial
# and in quarantine.
knows_parts ()
{
  for part in $(sed -n 's/.* event=part_[a-z]* part=\([^ ]*\) .*/\1/p' \
    "$DIR/gateway1.log" | sort -u); do
    event=$(last_event 1 "$part")
    is "$event" part_cleared || is "$event" "$(last_event 3 "$part")" || return 1
  done
}
# A request that is sent again as it was, each time to a gateway that has just
# started.  Three crashes and one trial are allowed.  A gateway logs a crash
# after it has told the others.
poison_runs=0
for i in 1 2 3 4 5 6 7; do
  stop gateway3 KILL
  # The endpoint that crashed has started again, as one of these.
  for engine in $engines; do
    BORN=$i
    list_engine "$engine" ready
    BORN=
  done
  start_gateway 3
  await 10 ready 3
  await 5 knows_parts
  # A trial may begin once the gateway knows how many take turns.
  await 5 grep -q 'event=routers .*sharers=[1-9]' "$DIR/gateway3.log"
  request 3 /once/crash/poison -X POST -d poison
  runs=$(run_count $id)
  poison_runs=$((poison_runs + runs))
  is "$runs" 0 \
    || await 5 grep -q "event=endpoint_broke id=$id " "$DIR/gateway3.log"
done
is "$status" 503 && [ "$poison_runs" -le 4 ]
verdict "a request that crashes endpoints is refused by gateways that start later" $?
for n in 1 2 3; do
  stop gateway$n KILL
done
for n in 1 2 3; do
  start_gateway $n
done
for n in 1 2 3; do
  await 20 ready $n || exit 1
done
known=0
for n in 1 2 3; do
  await 5 grep -q 'event=part_quarantined part=dead ' "$DIR/gateway$n.log" \
    && known=$((known + 1))
done
is $known 3 && part_refused
verdict "a part that crashed endpoints is refused after a restart of all gateways" $?
store_put keyed.servers e2 ''
store_put keyed.servers e3 ''
stop engine2 KILL
stop engine3 KILL
engines="0 1"
all_alive || await 10 all_alive

# Retries within the first seconds of a gateway are limited to a fraction of its
# requests.
all_share () { metrics && grep -q '^monsoonspur_routers_sharing 3' "$DIR/metrics"; }
await 10 all_share
verdict "the gateways divide limits of the fleet among all three" $?

request 1 /none/x
is "$status" 404
verdict "a path without a route gets 404" $?
KEY=nobody
request 1 /any/x
KEY=k1
is "$status" 401
verdict "an unknown key gets 401" $?
KEY=
request 1 /open/x
KEY=k1
is "$status" 200
verdict "a public route needs no key" $?

request 1 /once/full
is "$status" 503 && head_has '^Retry-After:' && is "$(run_count $id)" 0
verdict "a request that no endpoint accepts gets 503 and does not run" $?
request 1 /once/crash -X POST -d x
is "$status" 502 && is "$(run_count $id)" 1
verdict "a non-idempotent request is not retried after a broken connection" $?
request 1 /any/crash -X POST -d poison
is "$(run_count $id)" 2
verdict "an idempotent request runs at most twice if connections break" $?
quarantined ()
{
  request 2 /any/crash -X POST -d poison
  is "$status" 503 && is "$(run_count $id)" 0
}
await 5 quarantined
verdict "a request that broke two connections is refused by another gateway" $?
await 5 serves 1
# Each engine answers its first run of this request with 500 and later ones
# with 200, so the retry gets 500 on the other engine and 200 on the same one.
request 1 /any/flaky
is "$status" 200 || is "$status" 500
verdict "an idempotent request that failed at first gets 200 or 500" $?
is "$(run_count $id)" 2
verdict "an idempotent request that failed is retried once" $?
# With a single endpoint the answer was discarded, and the caller got 502.
listed () { metrics && grep -q "^monsoonspur_endpoints_listed $1" "$DIR/metrics"; }
store_put keyed.servers e1 ''
await 10 listed 1
request 1 /any/flaky
is "$status" 500 && head_has '^X-Response-Signature: s' \
  && is "$(run_count $id)" 1
verdict "a failure is passed on if no other endpoint can get the request" $?
list_engine 1 ready
await 10 listed 2
loads () { metrics && grep -q "^monsoonspur_server_load_total{valid=\"$1\"} $2" "$DIR/metrics"; }
work_time () { get -X PUT "http://$(engine_address "$1")/load?to=$2" >/dev/null; }
for time in 250 999999 -1; do
  for n in 0 1; do work_time $n $time; done
  request 1 /any/x
done
is "$status" 200 && loads yes 1 && loads no 1
verdict "loads that endpoints report are counted, implausible ones as invalid" $?
request 1 /once/flaky -X POST -d x
is "$status" 500 && head_has '^X-Response-Signature: s' \
  && is "$(run_count $id)" 1
verdict "the failure of a non-idempotent request is passed on, not retried" $?
request 1 /once/promise -X POST -d x
is "$status" 502 && is "$(run_count $id)" 1 && ! head_has '^X-Response-Signature:'
verdict "a 503 of an endpoint that does not state that the request was not run gets 502" $?
request 1 /any/unsigned
is "$status" 502
verdict "a successful answer without the endpoint's signature gets 502" $?
request 1 /once/noid -X POST -d x
is "$status" 502 && is "$(run_count $id)" 1
verdict "an answer that does not repeat the request's id gets 502" $?
request 1 /once/noid/refused -X POST -d x
is "$status" 502 && is "$(run_count $id)" 1
verdict "a refusal that does not repeat the request's id is not believed" $?
request 1 /once/endless
# The answer has 64 MiB.  The gateway's peak memory, in kB, is compared with that
# only if BUILD is "build", not for the sanitizer build of make check-asan.
peak=$(grep VmHWM "/proc/$(pid_of gateway1)/status" | tr -dc 0-9)
is "$status" 502 && { [ "$BUILD" != build ] || [ "$peak" -lt 65536 ]; }
verdict "a large answer without signature gets 502 and is not buffered" $?
# The endpoint sends without end until the gateway closes.  A request that may
# have run gets 502 before its deadline, where it would get 504, and one that was
# refused gets 503.
for kind in header interim crossed chunk error body; do
  request 1 /once/noanswer/$kind -X POST -d x
  is "$status" 502 && is "$(run_count $id)" 1
  verdict "bytes without end that are no answer get 502 ($kind)" $?
done
request 1 /once/noanswer/refused -X POST -d x
is "$status" 503 && is "$(run_count $id)" 0
verdict "a refusal with a body without end gets 503" $?
# request_one_of_many KIND NUMBER: write the status of a request to the file
# many, KIND, NUMBER.  While a gateway gets too little processor time it closes
# its port for up to a second, so that callers connect elsewhere (curl exits with
# 7); here they try again.
request_one_of_many ()
{
  for try in $(seq 50); do
    curl --silent --noproxy '*' --max-time 10 -H 'Host: h' -H 'X-Key: k1' \
      -H "X-Request-Attempt-Id: many$1$2" -d x -o /dev/null \
      -w '%{http_code}\n' "$(caller_url 1)/once/noanswer/$1" \
      >"$DIR/many$1$2"
    [ $? -eq 7 ] || return 0
    sleep 0.1
  done
}
for i in $(seq 30); do
  for kind in header body; do
    request_one_of_many $kind $i &
    eval "many_$kind$i=$!"
  done
done
for i in $(seq 30); do
  for kind in header body; do
    eval "wait \$many_$kind$i"
  done
done
peak=$(grep VmHWM "/proc/$(pid_of gateway1)/status" | tr -dc 0-9)
is "$(cat "$DIR"/many* | grep -cE '50[23]')" 60 \
  && { [ "$BUILD" != build ] || [ "$peak" -lt 65536 ]; }
verdict "many bytes without end at once are not kept in memory" $?
await 10 serves 1
request 1 /any/short
is "$status" 502
verdict "a truncated answer gets 502" $?
request 1 /any/unframed
is "$status" 200 && body_has whole && ! head_has '^Content-Length'
verdict "an answer without Content-Length is passed on without one" $?
long_id=$(head -c 100 /dev/zero | tr '\0' i)
ID=$long_id
request 1 /any/x
ID=
is "$status" 200
verdict "a request with a long id gets its answer" $?
request 1 /any/extra
undisturbed=0
for i in 1 2 3 4; do
  request 1 /any/x
  is "$status" 200 && body_has '"endpoint"' && is "$(run_count $id)" 1 \
    && undisturbed=$((undisturbed + 1))
done
is $undisturbed 4
verdict "surplus bytes after an answer do not reach later requests" $?

request 1 '/events/stream?n=8&ms=5'
is "$status" 200 && is "$(grep -c '^id: ' "$DIR/body")" 8
verdict "a stream arrives complete" $?
request 1 '/events/half?n=6&ms=5'
is "$status" 200 \
  && is "$(grep '^id: ' "$DIR/body" | tr -d 'id: \n')" 123456
verdict "a broken resumable stream continues elsewhere, each event once" $?
request 1 '/events/open/stream?n=8&ms=5'
is "$status" 200 && is "$(grep -c '^id: ' "$DIR/body")" 8 && is "$code" 0
verdict "a stream without a length arrives complete" $?
request 1 '/events/open/half?n=6&ms=5'
is "$status" 200 \
  && is "$(grep '^id: ' "$DIR/body" | tr -d 'id: \n')" 123456
verdict "a stream without a length that ends inside an event continues elsewhere" $?
request 1 '/tail/open/half?n=6&ms=5'
is "$status" 200 && [ "$code" -ne 0 ]
verdict "a stream that ends inside an event does not look complete" $?
request 1 '/events/limited/half?n=6&ms=5'
is "$status" 200 && [ "$code" -ne 0 ] && ! body_has many
verdict "a stream whose resumption fails does not look complete" $?
request 1 '/events/stream?n=1000&ms=10' --max-time 1
await 5 cancelled "$id"
verdict "an endpoint's stream is cancelled when the caller disconnects" $?
# More is sent than the gateway reads ahead, which is up to 128 KiB, but no more
# than fits into the receive buffer besides: the end of the connection would not
# arrive behind a closed window.  The gateway would learn of the disconnection
# when it passes on the next event, after 10 s.
{
  printf 'GET /events/stream?n=5&ms=10000 HTTP/1.1\r\nHost: h\r\nX-Key: k1\r\nX-Request-Attempt-Id: unread\r\nX-Deadline-Remaining-Ms: 20000\r\n\r\n'
  head -c 140000 /dev/zero
} >"$DIR/raw"
curl --silent --max-time 1 "telnet://$(ip 1):$((BASE + 1))" <"$DIR/raw" \
  >"$DIR/answer" 2>/dev/null
await 3 grep -q 'event=request id=unread .*outcome=caller_gone' \
  "$DIR/gateway1.log"
verdict "a disconnection behind bytes that are not read ends the request" $?
DEADLINE=700
request 1 '/events/stream?n=30&ms=200'
DEADLINE=
[ "$code" -ne 0 ] && await 2 cancelled "$id"
verdict "an endpoint's stream is cancelled at the caller's deadline" $?
request 1 '/brief/slow?ms=3000'
is "$status" 504
verdict "a request gets 504 at its route's timeout" $?

# The number in the query must end with the target, whatever follows it in the
# request.
printf 'GET /fleet/topics?endpoints=0&operator=0 HTTP/1.1\r\n99999999: x\r\nHost: h\r\n\r\n' \
  >"$DIR/raw"
curl --silent --max-time 1 "telnet://$(ip 1):$((BASE + 4))" <"$DIR/raw" \
  >"$DIR/answer" 2>/dev/null
grep -q '"operator":{[^}]*\("offsets":{[^}]*}[^}]*\)\{0,1\}"records":' "$DIR/answer"
verdict "a relay does not read its offset past the end of the query" $?
printf 'POST /any/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /any/smuggled HTTP/1.1\r\nHost: h\r\n\r\n' \
  >"$DIR/raw"
curl --silent --max-time 3 "telnet://$(ip 1):$((BASE + 1))" <"$DIR/raw" \
  >"$DIR/answer" 2>/dev/null
is "$(grep -c '^HTTP/1.1' "$DIR/answer")" 1 \
  && head -1 "$DIR/answer" | grep -q ' 400 '
verdict "a request with Content-Length and chunked encoding gets one 400" $?
request 1 /any/x -H "X-Long: $(head -c 5000 /dev/zero | tr '\0' a)"
is "$status" 431
verdict "headers over the limit get 431" $?
head -c 200000 /dev/zero >"$DIR/large"
request 1 /once/x -X POST --data-binary "@$DIR/large"
is "$status" 413
verdict "a body over the limit gets 413" $?

directory_has () { get "$(directory_url 1)" | grep -q "$(ip "$1"):"; }
directory_lacks () { ! directory_has "$1"; }
await 5 directory_has 3 && directory_has 2 && directory_has 1
verdict "the directory lists the ready gateways" $?
stop gateway3 KILL
await 10 directory_lacks 3
verdict "the directory drops a killed gateway" $?

# change_setting NUMBER FIELD VALUE: set FIELD in a gateway's settings file and
# send the gateway SIGHUP.
change_setting ()
{
  sed "s/^$2: .*/$2: $3/" "$DIR/gateway$1.yaml" >"$DIR/changed.yaml"
  cp "$DIR/changed.yaml" "$DIR/gateway$1.yaml"
  kill -HUP "$(pid_of gateway$1)"
}
log_has () { grep -q "$2" "$DIR/gateway$1.log"; }
ttl_is () { get "$(directory_url 1)" | grep -q "\"ttl_s\":$1[,}]"; }
change_setting 1 directory_ttl_s 1
await 5 ttl_is 1
verdict "SIGHUP applies changed settings" $?
change_setting 1 directory_ttl_s -3
await 5 log_has 1 'event=reload_refused error=.*directory_ttl_s: -3' \
  && ttl_is 1 && serves 1
verdict "SIGHUP with an invalid setting changes nothing and logs the field" $?
change_setting 1 directory_ttl_s 5
change_setting 1 peer_port 9
await 5 log_has 1 'event=reload_refused error="peer_port: a change takes a restart'
verdict "SIGHUP refuses a change that takes a restart and logs the field" $?
change_setting 1 peer_port $((BASE + 5))

publish_config 2 '"k2"' ",$(route added idempotent 2000 app 2 true false)"
added () { request 1 /added/x; is "$status" 200; }
await 5 added
verdict "an added route is served" $?
request 1 /any/x
is "$status" 401
verdict "a revoked key gets 401" $?
publish_config 1 '"k1"'
sleep 1
request 1 /any/x
is "$status" 401
verdict "a configuration with an older version is ignored" $?
publish_config 3 '"k1"'
await 5 serves 1 && await 5 serves 2

store_put keyed.servers alien 'no entry'
store_put keyed.servers alien2 '{"service":"app","address":5}'
await 5 grep -q 'event=endpoint_skipped' "$DIR/gateway1.log" \
  && serves 1
verdict "an unreadable endpoint entry is skipped and logged" $?

# Entries of another writer, sound but for their names, which are encoded here.
# Each is the last of a page for gateways that start while they stand.
store_page 1
for name in f%26a f%2Ba f%23a f%25a f%20a f%3Da f%3Fa f%2Fa f%0Aa f%C3%A9; do
  store_put keyed.servers $name "$(engine_entry 0 ready)"
done
for name in part/abc%20x part/abd; do
  store_put keyed.monsoonspur $name "{\"deaths\":9,\"at\":$(date +%s)000}"
done
for n in 1 2 3; do
  stop gateway$n KILL
done
for n in 1 2 3; do
  start_gateway $n
done
for n in 1 2 3; do
  await 20 ready $n
done
served=0
for i in $(seq 30); do
  serves $((i % 3 + 1)) && served=$((served + 1))
done
is $served 30
verdict "requests are served after a restart beside entries with odd names" $?
store_page 500
# lists NUMBER GATEWAY: whether the gateway has this number of endpoints.
lists ()
{
  get "http://$(ip $2):$((BASE + 4))/metrics" \
    | grep -q "^monsoonspur_endpoints_listed $1$"
}
lists 2 1 && lists 2 2 && lists 2 3
verdict "an entry whose key is no name is not used as an endpoint" $?
await 5 grep -q 'event=part_quarantined part=abd ' "$DIR/gateway1.log" \
  && ! grep -q ' part=abc ' "$DIR/gateway1.log"
verdict "a record whose key is no part puts no part into quarantine" $?
store_put keyed.monsoonspur part/abc%20x ''

# all_run_on NUMBER: whether six requests in a row all run on this endpoint.
all_run_on ()
{
  for i in 1 2 3 4 5 6; do
    request 1 /any/x
    body_has "\"endpoint\":\"e$1\"" || return 1
  done
}
list_engine 0 draining
await 5 all_run_on 1
verdict "a draining endpoint gets no new requests" $?
list_engine 0 ready
store_put keyed.op evacuate/b '{}'
list_engine 1 ready b
await 5 all_run_on 0
verdict "an evacuated availability zone gets no requests" $?
store_put keyed.op evacuate/b ''
list_engine 1 ready a
store_put keyed.servers e0 ''
await 5 all_run_on 1
verdict "an endpoint removed from the list gets no requests" $?
list_engine 0 ready

# runs_on NUMBER: whether a request runs on this endpoint.
runs_on () { request 1 /any/x; body_has "\"endpoint\":\"e$1\""; }
leave_engine () { get -X PUT "http://$(engine_address "$1")/leave?to=$2" >/dev/null; }
refused_unrun ()
{
  request 1 /any/x
  is "$status" 503 && is "$(run_count $id)" 0
}
# knows_leaving NUMBER: whether gateway 1 has read last that it leaves.
knows_leaving ()
{
  grep "event=endpoint endpoint=e$1 " "$DIR/gateway1.log" | tail -1 \
    | grep -q 'leaving=1'
}
list_engine 1 draining
# Some requests in a row may run on 0 just because it is expected to be faster.
await 5 knows_leaving 1
await 5 all_run_on 0
leave_engine 0 1
runs_on 0
head_has '^Server-Leaving' && told_caller=1 || told_caller=0
refused_unrun
verdict "an endpoint that said in an answer that it leaves gets no more requests" $?
is $told_caller 0
verdict "callers are not told that an endpoint leaves" $?
list_engine 0 ready b
sleep 1
refused_unrun
verdict "an entry of the list does not undo what an endpoint said of its leaving" $?
leave_engine 0 0
BORN=2
list_engine 0 ready
BORN=
await 5 runs_on 0
verdict "an endpoint that started again after it left gets requests" $?
list_engine 1 ready
busy_engine () { get -X PUT "http://$(engine_address "$1")/busy?s=$2" >/dev/null; }
turned () { get "http://$(engine_address "$1")/turned"; }
list_engine 1 draining
await 5 all_run_on 0
busy_engine 0 3
request 1 /any/x
before=$(turned 0)
for i in 1 2 3 4 5 6 7 8 9 10; do
  request 1 /any/x
  sleep 0.1
done
is "$(turned 0)" "$before"
verdict "an endpoint that asks for a pause gets no request in it" $?
# Of the 3 s, at least one has passed.
wait_s=$(sed -n 's/^Retry-After: \([0-9]*\).*/\1/p' "$DIR/head")
is "$status" 503 && [ "${wait_s:-0}" -ge 1 ]
verdict "callers are told when endpoints that ask for a pause may be tried again" $?
busy_engine 0 0
await 5 runs_on 0
verdict "an endpoint gets requests again after the pause that it asked for" $?
limit_engine () { get -X PUT "http://$(engine_address "$1")/limit?to=$2" >/dev/null; }
limit_engine 0 2
served=0
told_caller=0
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15; do
  for gateway in 1 2; do
    request $gateway /any/x
    is "$status" 200 && served=$((served + 1))
    head_has '^Server-Limit' && told_caller=1
  done
done
# One and a half times what the limit allows in 4 s, and 5.
[ "$served" -ge 2 ] && [ "$served" -le 17 ]
verdict "gateways together do not exceed the limit that an endpoint names" $?
is $told_caller 0
verdict "callers are not told of the limit that an endpoint names" $?
limit_engine 0 -1
ten_served ()
{
  for i in 1 2 3 4 5 6 7 8 9 10; do
    request 1 /any/x
    is "$status" 200 || return 1
  done
}
await 5 ten_served
verdict "an endpoint that names no limit any more gets all requests" $?

# Two versions of the software serve.  ran_on ID: the engine that ran request
# ID, or both.
VERSION=v1
list_engine 0 ready
VERSION=v2
list_engine 1 ready
VERSION=
ran_on ()
{
  for engine in $engines; do
    is "$(get "http://$(engine_address $engine)/runs?id=$1")" 0 || printf '%s' $engine
  done
}
sleep 1
# take_up GATEWAY STREAM: take up the stream that attempt STREAM began.
take_up ()
{
  request "$1" "/events/stream?n=5" -H "Last-Event-Id: 2" -H "Resumes: $2"
}
begin_stream () { request 1 "/events/stream?n=3"; stream=$id; }
# goes_on_at_its_version: whether streams that begin at gateway 1 go on at
# gateway 2 at the engine whose version began them.
goes_on_at_its_version ()
{
  for i in 1 2 3 4 5 6; do
    begin_stream
    sleep 0.5
    take_up 2 "$stream"
    is "$status" 200 && is "$(ran_on $id)" "$(ran_on $stream)" || return 1
  done
}
goes_on_at_its_version
verdict "a stream that is taken up at another gateway goes on at its version" $?
# first_ms ID: milliseconds to the first event of request ID at gateway 1.
first_ms ()
{
  sed -n "s/.*event=request id=$1 .* first_ms=\([0-9]*\).*/\1/p" \
    "$DIR/gateway1.log"
}
request 1 "/events/stream?n=20&ms=20"
is "$status" 200 && await 2 grep -q "event=request id=$id " "$DIR/gateway1.log" \
  && [ "$(first_ms $id)" -ge 140 ] \
  && is "$(grep -c '^id: ' "$DIR/body")" 20
verdict "the first event of a stream waits for the store while two versions serve" $?
request 1 "/events/half?n=6"
is "$(ran_on $id)" 0 || is "$(ran_on $id)" 1
verdict "a stream does not go on at another version within one answer" $?
take_up 2 unknown
is "$status" 503 && is "$(run_count $id)" 0
verdict "a stream whose version is not known is refused" $?
# All gateways are killed.
streams=
for i in 1 2 3 4 5 6; do
  begin_stream
  streams="$streams $stream"
done
sleep 1
for n in 1 2 3; do
  stop gateway$n KILL
done
for n in 1 2 3; do
  start_gateway $n
done
for n in 1 2 3; do
  await 20 ready $n || exit 1
done
taken_up () { take_up 2 "$stream"; is "$status" 200; }
gone_on=0
for stream in $streams; do
  await 5 taken_up && is "$(ran_on $id)" "$(ran_on $stream)" \
    && gone_on=$((gone_on + 1))
done
is $gone_on 6
verdict "a stream goes on at its version after all gateways were killed" $?
take_up 2 unknown
is "$status" 503 && is "$(run_count $id)" 0
verdict "a stream whose version the store does not have is refused" $?
VERSION=v1
list_engine 0 ready
list_engine 1 ready
VERSION=
get -X PUT "$(store_url)/forget?topic=keyed.servers" >/dev/null
get -X PUT "$(store_url)/forget?topic=keyed.op" >/dev/null
list_engine 0 draining
await 5 all_run_on 1
verdict "changes arrive after the store has dropped its history" $?
list_engine 0 ready

# While a gateway is suspended it may miss that an endpoint has become cold.  A
# cold endpoint of this service may get 2 * 1.5 + 5 requests in a second.
publish_config 4 '"k1"' ",$(route other idempotent 2000 other 1 true false)"
list_engine 1 ready a other
other () { request 1 /other/x; is "$status" 200; }
await 5 other
sleep 1.2
kill -STOP "$(pid_of gateway1)"
curls=
for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
  curl --silent --noproxy '*' --max-time 5 -H 'Host: h' -o /dev/null \
    -w '%{http_code}\n' "$(caller_url 1)/other/x" >"$DIR/suspended$i" &
  curls="$curls $!"
done
sleep 1
kill -CONT "$(pid_of gateway1)"
wait $curls
is "$(cat "$DIR"/suspended* | grep -c .)" 20 \
  && [ "$(cat "$DIR"/suspended* | grep -c 200)" -le 8 ]
verdict "a gateway that was suspended treats endpoints as cold at once" $?
# An endpoint that becomes cold while the store is away can say so only on its
# health page.  It gets 20 requests a second, but for its limit.
runs_so_far () { get "http://$(engine_address 1)/total"; }
sleep 3.2
store_mode down
for i in $(seq 80); do
  curl --silent --noproxy '*' --max-time 5 -H 'Host: h' -o /dev/null \
    "$(caller_url $((i % 3 + 1)))/other/x"
  sleep 0.04
done &
requests=$!
sleep 1.5
before=$(runs_so_far)
get -X PUT "http://$(engine_address 1)/cold?ms=4000" >/dev/null
sleep 0.7
known=$(runs_so_far)
sleep 1
after=$(runs_so_far)
wait $requests
[ "$before" -gt 10 ] && [ $((after - known)) -le 8 ]
verdict "an endpoint that becomes cold while the store is away is held to its limit" $?
metrics && grep -q '^monsoonspur_endpoint_asks_total [1-9]' "$DIR/metrics"
verdict "endpoints are asked whether they are cold while the store is away" $?
store_mode up
await 5 other
list_engine 1 ready a

# Gateway 3 starts again with a store address where nothing listens, so it
# depends on what the other gateways relay.
stop gateway3 KILL
start_gateway 3 $((BASE + 9))
await 10 ready 3
verdict "a gateway without access to the store is ready through its peers" $?
lists 2 3
verdict "an entry whose key is no name is not used by relays either" $?
publish_config 5 '"k1", "k4"'
relayed () { request 3 /any/x; is "$status" 200; }
KEY=k4
await 5 relayed
verdict "a gateway without access to the store gets changes from its peers" $?
KEY=k1

# The others know gateway 3 from before, but not gateway 4.
start_gateway 4 $((BASE + 9))
four_alive () { metrics && grep -q '^monsoonspur_routers_alive 4' "$DIR/metrics"; }
await 10 ready 4 && await 10 four_alive
verdict "a new gateway without access to the store is counted by the others" $?
stop gateway4 KILL

# The store comes back from an older copy.  Gateway 3 still depends on relays.
both_have_version ()
{
  log_has 1 "event=configuration version=$1 " \
    && log_has 2 "event=configuration version=$1 "
}
all_serve () { serves 1 && serves 2 && serves 3; }
copy_store
for version in 6 7 8 9; do
  publish_config $version '"k1"'
done
await 5 both_have_version 9
restore_store
publish_config 10 '"k1", "k10"'
KEY=k10
await 3 all_serve
verdict "a configuration written after the store came back from a copy is in force" $?
copy_store
publish_config 11 '"k1"'
await 5 both_have_version 11
store_mode down
restore_store
publish_config 12 '"k1", "k12"'
store_put keyed.op other 1
store_put keyed.op other 2
store_mode up
KEY=k12
await 3 all_serve
verdict "a configuration at an offset that was given out before is in force" $?
copy_store
publish_config 13 '"k1"'
await 5 both_have_version 13
restore_store keyed.monsoonspur
sleep 1
still_refused=0
for n in 1 2 3; do
  request $n /any/x
  is "$status" 200 || still_refused=$((still_refused + 1))
done
is $still_refused 3
verdict "a key that was revoked does not come back with an older copy" $?
KEY=k1
publish_config 13 '"k1"'
members_listed ()
{
  get "$(store_url)/log-newest?topic=keyed.monsoonspur" >"$DIR/members"
  grep -q '"g1"' "$DIR/members" && grep -q '"g2"' "$DIR/members"
}
await 3 members_listed
verdict "routers register again after the store lost their records" $?
await 5 all_serve

keys_refused ()
{
  request ${1:-1} /any/x
  is "$status" 503 && head_has '^Retry-After:' && is "$(run_count $id)" 0
}
# taken_away KEY: whether all gateways refuse this key.
taken_away ()
{
  KEY=$1
  for n in 1 2 3; do
    request $n /any/x
    { is "$status" 401 || is "$status" 503; } && is "$(run_count $id)" 0 \
      || return 1
  done
}
# The configurations that follow cannot be put into force as a whole.
publish_config 20 '"k1", "k20"'
KEY=k20
await 5 all_serve
split=
for service in app app app app app app app app app app; do
  split="$split${split:+,}{\"service\":\"$service\",\"weight\":1}"
done
publish_config 21 '"k1"' ",{\"name\":\"split\",\"hostname\":\"h\",\
\"path_prefix\":\"/split/\",\"route_kind\":\"idempotent\",\"timeout_ms\":2000,\
\"max_attempts\":2,\"traffic_split\":[$split]}"
await 3 taken_away k20
verdict "a key is taken away beside a route that is split over ten services" $?
KEY=k1
request 1 /split/x
is "$status" 200
verdict "a route that is split over ten services is served" $?
publish_config 22 '"k1", "k20"'
KEY=k20
await 5 all_serve
store_put keyed.op config '{"version":23,"routes":[{"name":"broken"}],
"tenants":[{"name":"t1","api_keys":["k1"]}]}'
await 3 taken_away k20
verdict "a key is taken away by a configuration whose routes are invalid" $?
publish_config 22 '"k1", "k20"'
sleep 1
taken_away k20
verdict "an older configuration does not bring that key back" $?
KEY=k1
all_serve
verdict "the other keys hold with the routes of before" $?
request 1 /none/x
is "$status" 503 && metrics && grep -q '^monsoonspur_config_in_force 0' "$DIR/metrics"
verdict "a route is not reported as missing while a configuration is not in force" $?
publish_config 24 '"k1", "k20"'
KEY=k20
await 5 all_serve
store_put keyed.op config '{"version":25,"rou'
await 3 taken_away k20
verdict "no key is taken for valid once a configuration cannot be read" $?
KEY=k1
keys_refused 2
verdict "requests with a key get 503 once a configuration cannot be read" $?
publish_config 26 '"k1"'
await 5 all_serve && metrics && grep -q '^monsoonspur_config_in_force 1' "$DIR/metrics"
verdict "a later configuration is in force as a whole" $?

store_mode down
await 10 keys_refused
verdict "requests with a key get 503 while revocations cannot be read" $?
KEY=
request 1 /open/x
KEY=k1
is "$status" 200
verdict "a public route is served while the store is down" $?
store_mode up
await 10 serves 1 && await 10 serves 2
verdict "requests with a key are served again once the store is back" $?

# fetch_unframed GATEWAY NAME PATH [CURL ARGUMENTS]: request an answer that has
# neither a length nor chunks, in the background; curl's status goes to the file
# NAME.code, the body to NAME.body.
fetch_unframed ()
{
  (gateway=$1; name=$2; path=$3
   shift 3
   BODY=$DIR/$name.body DEADLINE=20000 ID=unframed-$name
   request "$gateway" "$path" --max-time 20 "$@"
   echo "$code" >"$DIR/$name.code") &
  fetches="$fetches $!"
}
# cut_short NAME: whether the answer had begun and curl took it for incomplete.
cut_short () { [ -s "$DIR/$1.body" ] && ! is "$(cat "$DIR/$1.code")" 0; }
unframed="open tail table open_1_0 table_1_0"
await 10 serves 3
verdict "a gateway without access to the store serves again as well" $?
fetches=
fetch_unframed 3 open '/events/open/stream?n=150&ms=20'
fetch_unframed 3 tail '/tail/open/stream?n=150&ms=20'
fetch_unframed 3 table '/any/table?n=200&ms=15'
fetch_unframed 3 open_1_0 '/events/open/stream?n=150&ms=20' --http1.0
fetch_unframed 3 table_1_0 '/any/table?n=200&ms=15' --http1.0
sleep 1.5
stop gateway3 KILL
wait $fetches
for name in $unframed; do
  cut_short $name
  verdict "an answer without a length does not look complete when its gateway is killed ($name)" $?
done
start_gateway 3
await 20 serves 3
verdict "a killed gateway serves again" $?
request 3 '/any/table?n=40&ms=1' --http1.0
is "$code" 0 && is "$(wc -c <"$DIR/body")" 327680 \
  && ! head_has '^Transfer-Encoding:'
verdict "a caller of HTTP/1.0 gets a whole answer without a length and no chunks" $?

(BODY=$DIR/stream DEADLINE=20000; request 2 '/events/stream?n=180&ms=20') &
stream_pid=$!
sleep 0.5
kill -TERM "$(pid_of gateway2)"
kill -TERM "$(pid_of gateway3)"
await 2 not_ready 2
verdict "a gateway is not ready after SIGTERM" $?
# After this pause at most 4.8 s of the grace period of 8 s are left: more than
# the timeout of /any and less than that of /events.
sleep 1
# These begin so late that gateway 3 ends before their timeout.
fetches=
fetch_unframed 3 open '/events/open/stream?n=700&ms=20'
fetch_unframed 3 open_1_0 '/events/open/stream?n=700&ms=20' --http1.0
unframed_fetches=$fetches
sleep 2.2
request 2 /any/x
is "$status" 200
verdict "a draining gateway serves requests that are sure to end in time" $?
request 2 /events/x
is "$status" 503 && head_has '^Retry-After:'
verdict "a draining gateway refuses requests that may not end in time" $?
wait $stream_pid
is "$(grep -c '^id: ' "$DIR/stream")" 180
verdict "a draining gateway does not cut an open stream" $?
wait "$(pid_of gateway2)"
verdict "a drained gateway exits with 0" $?
grep -q 'event=stop' "$DIR/gateway2.log"
verdict "a drained gateway logs event=stop" $?
wait $unframed_fetches
for name in open open_1_0; do
  cut_short $name
  verdict "an answer without a length does not look complete at the end of the grace period ($name)" $?
done
stop gateway3

. "$here/rollouts.sh"

note "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
