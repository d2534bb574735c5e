#!/bin/sh
# Replays each trace, which must pass.  Then replays each trace that proofs.txt
# names without the mechanism named beside it, or with another dispatch policy
# if "policy:NAME" stands there.  This run must fail, which shows that the trace
# tests the mechanism or the policy.  A failure listed in KNOWN-RED.txt is
# printed and does not fail the run.

set -u
BUILD=${BUILD:-build}
here=$(dirname "$0")
passed=0
failed=0
known_red=0

# is_known_red NAME: whether KNOWN-RED.txt lists the test NAME.
is_known_red ()
{
  grep -v '^#' "$here/../KNOWN-RED.txt" | grep -q "^$1 "
}

# verdict NAME STATUS: count the result of a test and print a failure.
verdict ()
{
  if [ "$2" -eq 0 ]; then
    passed=$((passed + 1))
  elif is_known_red "$1"; then
    known_red=$((known_red + 1))
    echo "KNOWN RED $1"
  else
    failed=$((failed + 1))
    echo "FAILED $1"
  fi
}

for trace in "$here"/traces/*.trace; do
  name=$(basename "$trace" .trace)
  "$BUILD/monsoonspur-replay" "$trace" >"$BUILD/replay.out" 2>&1
  code=$?
  [ $code -eq 0 ] || cat "$BUILD/replay.out"
  verdict "$name" $code
done
while read -r name mechanism; do
  case $name in
    '' | '#'*) continue ;;
  esac
  case $mechanism in
    policy:*) option=--policy=${mechanism#policy:} ;;
    *) option=--without=$mechanism ;;
  esac
  "$BUILD/monsoonspur-replay" "$option" \
    "$here/traces/$name.trace" >"$BUILD/replay.out" 2>&1
  [ $? -eq 1 ]
  verdict "$name-without-$mechanism" $?
done <"$here/proofs.txt"
[ $known_red -eq 0 ] || echo "$known_red known red, listed in KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
