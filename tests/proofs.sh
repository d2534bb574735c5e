#!/bin/sh
# Runs each trace that must pass, and each proof's trace without its
# mechanism, which must fail.  Known faults are listed in KNOWN-RED.txt.

set -u
BUILD=${BUILD:-build}
here=$(dirname "$0")
passed=0
failed=0
red=0

known ()
{
  grep -v '^#' "$here/../KNOWN-RED.txt" | grep -q "^$1 "
}

verdict ()
{
  if [ "$2" -eq 0 ]; then
    passed=$((passed + 1))
  elif known "$1"; then
    red=$((red + 1))
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
[ $red -eq 0 ] || echo "$red known red, listed in KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
