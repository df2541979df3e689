#!/usr/bin/env bash
# Checks the models pool_lease.pml and at_most_once.pml with Spin. The correct models must hold in every
# state within the bounds, and each broken variant must be rejected. Prints the number of states of
# each run. JOBS sets the number of parallel runs, 4 by default.
set -u
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export work
jobs=${JOBS:-4}

# Checks one run, given as: pass|fail MODEL SWITCH...
check() {
  local expected=$1 model=$2
  shift 2
  local dir states result
  dir=$(mktemp -d -p "$work")
  cp "$model.pml" "$dir"
  cd "$dir" || exit 1
  spin "$@" -a "$model.pml" >spin.log 2>&1 || { cat spin.log; echo "BROKEN $model $*"; return 1; }
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=3000 -o pan pan.c || return 1
  timeout 110 ./pan -m1000000 -E >out.log 2>&1
  states=$(grep -oE '[0-9]+ states, stored' out.log | grep -oE '^[0-9]+')
  if ! grep -q 'errors: ' out.log || grep -qE 'too small|out of memory|reached -DMEMLIM' out.log; then
    result=incomplete
  elif grep -q 'errors: 0' out.log; then
    result=pass
  elif grep -q 'assertion violated' out.log; then
    result=fail
  else
    result=incomplete
  fi
  local verdict=ok
  [ "$result" = "$expected" ] || verdict=WRONG
  printf '%-5s %-4s %9s states  %s %s\n' "$verdict" "$result" "${states:-?}" "$model" "$*"
  [ "$verdict" = ok ]
}
export -f check

runs() {
  cat <<'RUNS'
pass pool_lease -DHOSTS=3 -DLIMIT=4 -DFAULTS=0 -DNO_CRASH
pass at_most_once -DATTEMPTS=2 -DSTALE
pass pool_lease -DFAULTS=2
pass pool_lease -DFAULTS=1 -DRETAINED_MAX=3
pass pool_lease -DCREDITS -DMAX_FENCING=2 -DFAULTS=1
pass pool_lease -DCREDITS -DMAX_FENCING=2 -DFAULTS=0 -DRETAINED_MAX=3
pass pool_lease -DCREDITS -DFAULTS=0 -DNO_CRASH
pass at_most_once -DATTEMPTS=3 -DFENCE -DFAULTS=2
pass at_most_once -DATTEMPTS=2
fail at_most_once -DATTEMPTS=2 -DRERUN_UNKNOWN
fail at_most_once -DATTEMPTS=2 -DSEND_UNCONFIRMED
fail at_most_once -DATTEMPTS=2 -DNO_CONDITION
fail at_most_once -DATTEMPTS=2 -DREFUSE_AFTER_SEND
fail at_most_once -DATTEMPTS=3 -DFENCE -DFAULTS=2 -DNO_FENCE_CHECK
fail at_most_once -DATTEMPTS=3 -DFENCE -DFAULTS=2 -DLOOKUP_BEFORE_FENCE
fail at_most_once -DATTEMPTS=3 -DFENCE -DFAULTS=2 -DCLAIM_SAME_FENCING
fail pool_lease -DFAULTS=1 -DNO_RETAINED_ENTRY
fail pool_lease -DFAULTS=1 -DEARLY_TAKEOVER
fail pool_lease -DFAULTS=1 -DVALID_FROM_ANSWER
fail pool_lease -DFAULTS=1 -DRETAINED_FOREVER
fail pool_lease -DFAULTS=1 -DSHORT_RECLAIM
fail pool_lease -DFAULTS=1 -DNO_CONDITION
fail pool_lease -DFAULTS=1 -DRETAINED_MAX=3 -DNO_DROP
fail pool_lease -DFAULTS=1 -DRETAINED_MAX=3 -DLATE_ANSWER_REVIVES
fail pool_lease -DCREDITS -DMAX_FENCING=2 -DFAULTS=1 -DCREDITS_NEVER_EXPIRE
fail pool_lease -DCREDITS -DMAX_FENCING=2 -DFAULTS=1 -DNO_COLLECTION
fail pool_lease -DCREDITS -DMAX_FENCING=2 -DFAULTS=1 -DRETAINED_WITHOUT_COLLECTION
fail pool_lease -DCREDITS -DMAX_FENCING=2 -DFAULTS=0 -DRETAINED_MAX=3 -DRECLAIM_AT_ONCE
fail pool_lease -DCREDITS -DMAX_FENCING=2 -DFAULTS=0 -DRETAINED_MAX=3 -DNO_SECOND_COLLECTION
RUNS
}

if runs | xargs -P "$jobs" -I{} bash -c 'check {}'; then
  echo "All models hold and all broken variants are rejected"
else
  echo "Some runs did not end as expected"
  exit 1
fi
