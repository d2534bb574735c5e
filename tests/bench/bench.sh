#!/bin/sh
# Measurements that are not part of CI: the policies compared on the same
# arrivals, the latency that a router adds, and the CPU time, memory and
# control traffic of idle routers.

set -u
BUILD=${BUILD:-build}
BASE=${BASE:-29000}
here=$(dirname "$0")
DIR=$(mktemp -d)
. "$here/../fleet.sh"
trap 'stop_all; rm -rf "$DIR"' EXIT

for name in fair_uneven flood zone_out; do
  echo "== policies on $name"
  "$BUILD/monsoonspur-replay" -m --policy=fair --policy=first_come \
    --policy=deficit "$here/../traces/$name.trace" | grep -v -e passed -e ok
done

start_platform || exit 1
start_endpoints 6 3
start_routers 9
"$BUILD/example-litoral" >"$DIR/config.yaml" || exit 1
publish "$DIR/config.yaml" >/dev/null || exit 1
await_routers 9 || exit 1
# Endpoints start cold, and are warm after some requests.
"$BUILD/standin-caller" --router="$(caller_address 0)" --requests=6 >/dev/null

echo "== added latency, streams of 40 tokens"
"$BUILD/bench-latency" "http://$(runner_address 0)/run" \
  "http://$(caller_address 0)/services/agronomo/run" 60

echo "== nine routers for 10 s without requests"
# CPU time is utime + stime of /proc/PID/stat, in units of 10 ms.
cpu_before=
for i in 0 1 2 3 4 5 6 7 8; do
  cpu_before="$cpu_before $(awk '{print $14 + $15}' "/proc/$(pid_of router$i)/stat")"
done
bytes0=$(get "http://$(caller_address 3)/metrics" \
  | awk '/^monsoonspur_peer_bytes/ {print $2}')
sleep 10
bytes1=$(get "http://$(caller_address 3)/metrics" \
  | awk '/^monsoonspur_peer_bytes/ {print $2}')
i=0
for start in $cpu_before; do
  end=$(awk '{print $14 + $15}' "/proc/$(pid_of router$i)/stat")
  kb=$(awk '/^VmRSS/ {print $2}' "/proc/$(pid_of router$i)/status")
  echo "router-$i: $(((end - start) * 10)) ms of CPU time in 10 s, $kb kB"
  i=$((i + 1))
done
echo "router-3: $(((bytes1 - bytes0) / 10)) control bytes per second"
