#!/bin/sh
# Tests of the command line.  Invalid input must give the right exit status and
# a message that names file, line and field; the explain command must find its
# answers in gateways' logs.

set -u
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
here=$(dirname "$0")
trap 'rm -rf "$DIR"' EXIT
passed=0
failed=0

# expect NAME STATUS PATTERN COMMAND...: run COMMAND and check its exit status
# and that its output matches PATTERN.
expect ()
{
  name=$1
  status=$2
  pattern=$3
  shift 3
  "$@" >"$DIR/out" 2>&1
  got=$?
  if [ $got -eq "$status" ] && grep -q -- "$pattern" "$DIR/out"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED $name: exit $got"
    cat "$DIR/out"
  fi
}

cat >"$DIR/good.yaml" <<'END'
name: r1
availability_zone: salto
caller_address: 127.0.0.1:8101
peer_address: 127.0.0.1:9101
log_url: http://127.0.0.1:7000
list_url: http://127.0.0.1:7001
END
router=$BUILD/monsoonspur-router
expect "good settings" 0 'good.yaml: the settings are good' "$router" --check "$DIR/good.yaml"
sed 's/^peer_address.*/peer_address: here/' "$DIR/good.yaml" >"$DIR/bad.yaml"
expect "a bad address" 2 'bad.yaml: line 4: peer_address' \
  "$router" --check "$DIR/bad.yaml"
sed 's/^log_url/log_uri/' "$DIR/good.yaml" >"$DIR/bad.yaml"
expect "an unknown key" 2 'bad.yaml: line 5: log_uri' \
  "$router" --check "$DIR/bad.yaml"
sed '/^name/d' "$DIR/good.yaml" >"$DIR/bad.yaml"
expect "a missing key" 2 'bad.yaml.*name' "$router" --check "$DIR/bad.yaml"
expect "a missing file" 2 'none.yaml' "$router" --check "$DIR/none.yaml"
for program in router config ctl replay; do
  expect "$program --version" 0 "monsoonspur-$program [0-9]" \
    "$BUILD/monsoonspur-$program" --version
  expect "$program --help" 0 'Usage:' "$BUILD/monsoonspur-$program" --help
  expect "$program --nothing" 64 'unrecognized option' \
    "$BUILD/monsoonspur-$program" --nothing
done
expect "an unknown command" 2 'not known' "$BUILD/monsoonspur-ctl" jump
expect "a router that does not answer" 4 '127.0.0.1:1' \
  "$BUILD/monsoonspur-ctl" --router=127.0.0.1:1 status
expect "a log service that does not answer" 4 'monsoonspur-config' \
  "$BUILD/monsoonspur-config" --log=http://127.0.0.1:1 print

cat >"$DIR/gateways.log" <<'END'
9.0 g1 time=101.000000 event=leaving requests=3
9.1 g2 time=55.000000 event=pressure high=1 busy=0.97 requests=9 sockets=20
9.2 g1 time=101.200000 event=request id=a1 route=r team=t1 outcome=leaving status=503 endpoint=- attempts=0 first_ms=-1.0 expected_ms=0.0 uncached=0
9.2 g1 time=101.300000 event=request id=a2 route=r team=t1 outcome=answered status=200 endpoint=e1 attempts=1 first_ms=900.0 expected_ms=100.0 uncached=512
9.3 g3 time=10.000000 event=rollout_order service=s to=v2 duration_ms=6000 appeared=1 offset=3 order=1 version=abc
9.3 g3 time=10.020000 event=rollout service=s to=v2 phase=canary reason=order confirmed=0
9.3 g3 time=12.500000 event=request id=a4 route=r team=t1 outcome=answered status=500 endpoint=e1 attempts=1 service=s version=abc
9.3 g3 time=12.600000 event=request id=a5 route=r team=t1 outcome=answered status=200 endpoint=e2 attempts=1 service=s version=def
9.3 g3 time=12.700000 event=rollout service=s to=v2 phase=stopped reason=failures confirmed=0
9.3 g3 time=12.900000 event=request id=a6 route=r team=t1 outcome=version_stopped status=503 endpoint=- attempts=0 service=s version=0
a line of something else
END
explain ()
{
  "$BUILD/monsoonspur-ctl" --log="$DIR/gateways.log" explain "$1"
}
expect "explain: a refused request" 0 'told to end' explain a1
expect "explain: the gateway's events before the request" 0 \
  'g1 time=101.000000 event=leaving' \
  explain a1
expect "explain: the requests of the same team" 0 \
  'team t1 within 2 s there: 2, answered 1' \
  explain a1
expect "explain: a late answer" 0 'after 900.0 ms, expected were 100.0' \
  explain a2
expect "explain: a request that is not in the log" 1 'no end of request a3' explain a3
expect "explain: a log file that does not exist" 1 'nowhere' \
  "$BUILD/monsoonspur-ctl" --log=nowhere explain a1
expect "explain: a request that a canary sent to the new version" 0 \
  'rollout of s to v2: phase canary (order) since 2.5 s before; it was sent to that version' \
  explain a4
expect "explain: a request beside a canary" 0 'it was sent to another version' \
  explain a5
expect "explain: a stream that a rollout stopped" 0 \
  'phase stopped (failures) since 0.2 s before; it was sent to no version' \
  explain a6
expect "explain: what a stopped version means" 0 \
  'its stream began at a version' explain a6
if explain a1 | grep -q 'g2 '; then
  failed=$((failed + 1))
  echo "FAILED explain: events of another gateway are printed"
fi

steady=$here/traces/steady.trace
cp "$here/traces/litoral.inc" "$DIR/"
# expect_trace_error NAME PATTERN LINE: replay the steady trace with LINE
# added, and check that the error names the file and matches PATTERN.
expect_trace_error ()
{
  cp "$steady" "$DIR/broken.trace"
  echo "$3" >>"$DIR/broken.trace"
  expect "$1" 2 "broken.trace: line [0-9]*: $2" \
    "$BUILD/monsoonspur-replay" "$DIR/broken.trace"
}
expect_trace_error "an unknown word" 'the word' 'sometimes 5'
expect_trace_error "a bad time" 'the time' 'at noon kill r1'
expect_trace_error "an unknown event" 'the event "dance" is not known' 'at 5 dance r1'
expect_trace_error "an unknown router" 'the router is not known' 'at 5 kill r77'
expect_trace_error "an unknown team" 'its team or service' 'at 5 send team=x service=agronomo'
expect_trace_error "an unknown outcome" 'the expectation' 'expect joy == 0'
expect_trace_error "an unknown relation" 'use ==' 'expect lost != 0'
echo 'expect sent == 0' >"$DIR/tail"
cat "$steady" "$DIR/tail" >"$DIR/unmet.trace"
expect "an expectation that is not met" 1 'unmet.trace: line [0-9]*: sent is' \
  "$BUILD/monsoonspur-replay" "$DIR/unmet.trace"
echo "nonsense" >"$DIR/bad.journal"
expect "a file that is not a journal" 2 'bad.journal: line 1' \
  "$BUILD/monsoonspur-replay" --journal="$DIR/bad.journal"

echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
