#!/usr/bin/env bash
# All processes of the core are killed while changes of the configuration are sent, and are back
# within a second. Afterwards the configuration that is read must be the acknowledged one.
#
# Exits with 1 if it is another one, 0 if it is the same after each round, 2 if the case could not
# run. TROUBLE=0: nothing is killed.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/1
trouble=${TROUBLE:-1}
operators=target/review/operators
routes=300   # as many idle routes as the deployments have
changes=2    # two operators, each with one change on the same base
budget_s=100
[ -x target/quetzal-control ] && [ -x $operators ] || { echo "not built" >&2; exit 2; }

run=$(mktemp -d)
record=$here/record.txt
: >$record
net=127.$((20 + $$ / 200 % 200)).$((1 + $$ % 200))
seeds=$net.1:8144,$net.2:8144,$net.3:8144
addresses=("$net.1:8144" "$net.2:8144" "$net.3:8144")
declare -a pids=()
trap 'for n in 1 2 3; do kill -KILL "${pids[$n]:-}" 2>/dev/null; done; wait 2>/dev/null; rm -rf "$run"' EXIT

# The command of the role quetzal-control in deploy/system.toml.
start() { # number bootstrap
  mkdir -p "$run/data-$1"
  target/quetzal-control --instance "$net.$1" --data-centre "zone-$1" --streams "$net.$1:7380" \
    --gossip "$net.$1:7380" --admin "$net.$1:7381" --seeds "$seeds" --bootstrap="$2" \
    --repair-group=true --orders "$net.$1:8144" --order-interface platform --key-groups=false \
    --rollout-share=0.1 --data-folder "$run/data-$1" --log-file - --workers 1 >>"$run/log-$1" 2>&1 &
  pids[$1]=$!
}
change() { # count
  $operators "$run/state" $record $routes "$1" "${addresses[@]}"
}

began=$SECONDS
for n in 1 2 3; do start $n true; done
echo "the group is founded; 40 changes one after the other" >>$record
for _ in $(seq 40); do change 1 || { echo "the configuration cannot be changed" >&2; exit 2; }; done

rounds=0 wrong=0 unread=0
while [ $((SECONDS - began)) -lt $budget_s ] && [ $wrong -lt 3 ]; do
  rounds=$((rounds + 1))
  echo "round $rounds" >>$record
  if [ "$trouble" = 1 ]; then
    for n in 1 2 3; do kill -KILL "${pids[$n]}"; done
    for n in 1 2 3; do wait "${pids[$n]}" 2>/dev/null; done
    echo "  all processes of the core killed" >>$record
  fi
  change $changes &
  sending=$!
  if [ "$trouble" = 1 ]; then
    sleep 0.4
    for n in 1 2 3; do start $n false; done
  fi
  wait $sending
  case $? in
    1) wrong=$((wrong + 1)) ;;
    2) unread=$((unread + 1)) ;;
  esac
  sleep 0.3
done
echo "rounds $rounds, another configuration read in $wrong, no answer in $unread" | tee -a $record
[ $wrong = 0 ] || exit 1
[ $unread = 0 ] || exit 2
exit 0
