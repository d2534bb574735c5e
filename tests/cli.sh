#!/bin/sh
# What the programs say to wrong input: exit status, file, line and field.

set -u
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
here=$(dirname "$0")
trap 'rm -rf "$DIR"' EXIT
passed=0
failed=0

# expect NAME STATUS PATTERN COMMAND...: run COMMAND and compare.
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
expect "no answer" 4 '127.0.0.1:1' \
  "$BUILD/monsoonspur-ctl" --router=127.0.0.1:1 status
expect "no log" 4 'monsoonspur-config' \
  "$BUILD/monsoonspur-config" --log=http://127.0.0.1:1 print

cat >"$DIR/gateways.log" <<'END'
9.0 g1 time=101.000000 event=leaving requests=3
9.1 g2 time=55.000000 event=pressure high=1 busy=0.97 requests=9 sockets=20
9.2 g1 time=101.200000 event=request id=a1 route=r team=t1 outcome=leaving status=503 endpoint=- attempts=0 first_ms=-1.0 expected_ms=0.0 uncached=0
9.2 g1 time=101.300000 event=request id=a2 route=r team=t1 outcome=answered status=200 endpoint=e1 attempts=1 first_ms=900.0 expected_ms=100.0 uncached=512
a line of something else
END
explain ()
{
  "$BUILD/monsoonspur-ctl" --log="$DIR/gateways.log" explain "$1"
}
expect "a refusal in a log" 0 'told to end' explain a1
expect "the router's events before it" 0 'g1 time=101.000000 event=leaving' \
  explain a1
expect "its team's requests" 0 'team t1 within 2 s there: 2, answered 1' \
  explain a1
expect "a late answer in a log" 0 'after 900.0 ms, expected were 100.0' \
  explain a2
expect "a request that a log lacks" 1 'no end of request a3' explain a3
expect "a log that is not there" 1 'nowhere' \
  "$BUILD/monsoonspur-ctl" --log=nowhere explain a1
if explain a1 | grep -q 'g2 '; then
  failed=$((failed + 1))
  echo "FAILED events of another router are told"
fi

steady=$here/traces/steady.trace
cp "$here/traces/litoral.inc" "$DIR/"
# broken NAME PATTERN LINE: the steady trace with LINE added.
broken ()
{
  cp "$steady" "$DIR/broken.trace"
  echo "$3" >>"$DIR/broken.trace"
  expect "$1" 2 "broken.trace: line [0-9]*: $2" \
    "$BUILD/monsoonspur-replay" "$DIR/broken.trace"
}
broken "an unknown word" 'the word' 'sometimes 5'
broken "a bad time" 'the time' 'at noon kill r1'
broken "an unknown event" 'the event "dance" is not known' 'at 5 dance r1'
broken "an unknown router" 'the router is not known' 'at 5 kill r77'
broken "an unknown team" 'its team or service' 'at 5 send team=x service=agronomo'
broken "an unknown outcome" 'the expectation' 'expect joy == 0'
broken "an unknown relation" 'use ==' 'expect lost != 0'
echo 'expect sent == 0' >"$DIR/tail"
cat "$steady" "$DIR/tail" >"$DIR/unmet.trace"
expect "an outcome that is not met" 1 'unmet.trace: line [0-9]*: sent is' \
  "$BUILD/monsoonspur-replay" "$DIR/unmet.trace"
echo "nonsense" >"$DIR/bad.journal"
expect "no journal" 2 'bad.journal: line 1' \
  "$BUILD/monsoonspur-replay" --journal="$DIR/bad.journal"

echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
