#!/bin/sh
# Prints once_sweep.trace, which tests at-most-once delivery: a router that
# fails at any step of a non-idempotent request could cause it to run twice or
# lose its outcome.  In each round nine such requests are sent at once, one
# through each router, and 0 to 800 ms later one router is killed for 1.5 s, or
# it is frozen or partitioned from the log and the other routers for 2.5 s.
# Rounds are 9 s apart: 30 delays with 3 faults each make 90 rounds and 810
# requests.  Times are in milliseconds.

cat <<'END'
# Written by make_once_sweep.sh, which says what this trace tests.
include litoral.inc
seed 62
END
at=8000
node=1
for delay in 0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 16 18 20 25 30 40 60 80 120 \
  200 300 400 500 600 800; do
  for fault in kill cut freeze; do
    for i in 1 2 3 4 5 6 7 8 9; do
      echo "at $at send team=silo-0$i service=silo-mando cost=10 once resend=2 node=r$i"
    done
    case $fault in
      kill)
        echo "at $((at + delay)) kill r$node"
        echo "at $((at + delay + 1500)) start r$node"
        ;;
      cut)
        echo "at $((at + delay)) cut r$node"
        echo "at $((at + delay + 2500)) heal"
        ;;
      freeze)
        echo "at $((at + delay)) freeze r$node for=2500"
        ;;
    esac
    node=$((node % 9 + 1))
    at=$((at + 9000))
  done
done
cat <<END
until $((at + 90000))
expect sent >= 810
expect lost == 0
expect answered_twice == 0
expect double == 0
expect false_refusals == 0
expect cold_over == 0
expect reverted == 0
END
