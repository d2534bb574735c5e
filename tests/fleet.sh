# Starts and stops a fleet of separate processes on loopback, and reports
# checks.  Sourced by the demonstration, the process tests and the benchmark,
# which set BUILD (folder of the programs), DIR (a scratch folder) and BASE
# (the first of the ports used).
#
# Runners are endpoints of the model service agronomo.  Plain endpoints are
# those of the plain service silo-mando, which takes non-idempotent requests.
# Each kind of process is numbered from 0.

PIDS=
zones="paysandu salto durazno"

note ()
{
  printf '%s\n' "$*"
}

passed=0
failed=0

# is_known_red WHAT: whether an entry of KNOWN-RED.txt begins with the text WHAT
# of a check, up to the first semicolon.
is_known_red ()
{
  cut -d ';' -f 1 "$here/../KNOWN-RED.txt" | grep -qxF -- "$1"
}

# verdict WHAT STATUS: count and print the result of a check; 0 is a success.  A
# failure listed in KNOWN-RED.txt is printed but not counted.
verdict ()
{
  if [ "$2" -eq 0 ]; then
    passed=$((passed + 1))
    note "ok $1"
  elif is_known_red "$1"; then
    note "KNOWN RED $1"
  else
    failed=$((failed + 1))
    note "FAILED $1"
  fi
}

# start NAME COMMAND...: run COMMAND in the background, with its output in
# DIR/NAME.log and its process id in DIR/NAME.pid.
start ()
{
  name=$1
  shift
  "$@" >"$DIR/$name.log" 2>&1 &
  echo $! >"$DIR/$name.pid"
  PIDS="$PIDS $!"
}

pid_of ()
{
  cat "$DIR/$1.pid"
}

# stop NAME [SIGNAL]: send SIGNAL, TERM by default, to a started process and
# wait for its end.  Returns its exit status.  Does nothing if it was stopped
# before, and forgets its process id, which others soon have: callers start some
# hundred processes a second.
stop ()
{
  [ -e "$DIR/$1.pid" ] || return 0
  stopped=$(pid_of "$1")
  kill "-${2:-TERM}" "$stopped" 2>/dev/null
  wait "$stopped" 2>/dev/null
  stop_status=$?
  rm -f "$DIR/$1.pid"
  running_pids=
  for pid in $PIDS; do
    [ "$pid" = "$stopped" ] || running_pids="$running_pids $pid"
  done
  PIDS=$running_pids
  return $stop_status
}

stop_all ()
{
  for pid in $PIDS; do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  PIDS=
}

# await SECONDS COMMAND...: repeat COMMAND every 50 ms until it succeeds; fail
# after SECONDS.
await ()
{
  tries=$(($1 * 20))
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      note "did not succeed in time: $*"
      return 1
    fi
    sleep 0.05
  done
}

get ()
{
  curl --silent --fail --noproxy '*' --max-time 5 "$@"
}

zone_of ()
{
  echo "$zones" | cut -d ' ' -f $((($1 % 3) + 1))
}

log_url () { echo "http://127.0.0.1:$BASE"; }
list_url () { echo "http://127.0.0.1:$((BASE + 1))"; }
caller_address () { echo "127.0.0.1:$((BASE + 10 + $1))"; }
peer_address () { echo "127.0.0.1:$((BASE + 40 + $1))"; }
runner_address () { echo "127.0.0.1:$((BASE + 70 + $1))"; }
plain_address () { echo "127.0.0.1:$((BASE + 100 + $1))"; }

# Find the first free range of ports, from BASE on in steps of 200, set BASE to
# it and start the log service and the instance list.
start_platform ()
{
  for attempt in 1 2 3 4 5 6 7 8 9 10; do
    try_platform && return 0
    BASE=$((BASE + 200))
  done
  note "no free ports, or a service did not answer, in $attempt attempts"
  return 1
}

# Whether nothing listens on the log's, the list's and the first router's,
# runner's and plain endpoint's port: curl exits with 7 if it cannot connect.
# The routers' ports for each other are not tried.
ports_free ()
{
  for port in $BASE $((BASE + 1)) $((BASE + 10)) $((BASE + 70)) \
    $((BASE + 100)); do
    curl --silent --noproxy '*' --max-time 1 "http://127.0.0.1:$port/" \
      >/dev/null
    [ $? -eq 7 ] || return 1
  done
}

try_platform ()
{
  ports_free || return 1
  start log "$BUILD/standin-log" --address="127.0.0.1:$BASE"
  start list "$BUILD/standin-list" --address="127.0.0.1:$((BASE + 1))"
  await 10 get "$(log_url)/v1/streams/control/records?from=0&wait_ms=0"
  await 10 get "$(list_url)/v1/instances"
}

start_runner ()
{
  start "runner$1" "$BUILD/standin-endpoint" \
    --address="$(runner_address "$1")" --unit=2000 --cold-limit=2
}

start_plain ()
{
  start "plain$1" "$BUILD/standin-endpoint" \
    --address="$(plain_address "$1")" --unit=1000 --cold-limit=2
}

# publish_list RUNNERS PLAINS: make RUNNERS runners and PLAINS plain endpoints
# the instance list.
publish_list ()
{
  {
    printf '{"instances":['
    separator=
    i=0
    while [ $i -lt "$1" ]; do
      printf '%s{"name":"runner-%d","service":"agronomo","zone":"%s",' \
        "$separator" $i "$(zone_of $i)"
      printf '"address":"%s","state":"live"}' "$(runner_address $i)"
      separator=,
      i=$((i + 1))
    done
    i=0
    while [ $i -lt "$2" ]; do
      printf '%s{"name":"mando-%d","service":"silo-mando","zone":"%s",' \
        "$separator" $i "$(zone_of $i)"
      printf '"address":"%s","state":"live"}' "$(plain_address $i)"
      separator=,
      i=$((i + 1))
    done
    printf ']}'
  } >"$DIR/list.json"
  get -X PUT --data-binary "@$DIR/list.json" "$(list_url)/v1/instances"
}

# start_endpoints RUNNERS PLAINS: start RUNNERS runners and PLAINS plain
# endpoints, and publish their list.
start_endpoints ()
{
  i=0
  while [ $i -lt "$1" ]; do
    start_runner $i
    i=$((i + 1))
  done
  i=0
  while [ $i -lt "$2" ]; do
    start_plain $i
    i=$((i + 1))
  done
  publish_list "$1" "$2" >/dev/null
}

# write_settings NUMBER: write the settings file of a router.
write_settings ()
{
  cat >"$DIR/router$1.yaml" <<END
name: router-$1
availability_zone: $(zone_of "$1")
caller_address: $(caller_address "$1")
peer_address: $(peer_address "$1")
log_url: $(log_url)
list_url: $(list_url)
operator_key: demo-operator
spans: true
END
}

start_router ()
{
  write_settings "$1"
  start "router$1" "$BUILD/monsoonspur-router" --record="$DIR/router$1.journal" \
    "$DIR/router$1.yaml"
}

start_routers ()
{
  i=0
  while [ $i -lt "$1" ]; do
    start_router $i
    i=$((i + 1))
  done
}

# publish FILE: publish a configuration.
publish ()
{
  "$BUILD/monsoonspur-config" --log="$(log_url)" publish "$1"
}

# all_members N: whether each of N routers sees N members.
all_members ()
{
  j=0
  while [ $j -lt "$1" ]; do
    get "http://$(caller_address $j)/v1/status" \
      | grep -q "\"members\":$1," || return 1
    j=$((j + 1))
  done
}

# await_routers N: wait until N routers are healthy and each sees N members.
await_routers ()
{
  i=0
  while [ $i -lt "$1" ]; do
    await 20 get "http://$(caller_address $i)/healthz" || return 1
    i=$((i + 1))
  done
  await 20 all_members "$1"
}
