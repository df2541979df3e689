# Functions that check the Promela model "$model" with Spin. The run_*.sh scripts source this file and
# then call `report` for each run. All output files go to a temporary folder.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"

# Runs one check with the given preprocessor switches. Prints the number of errors, the number of
# states and the violated assertion, separated by spaces.
check() {
  spin -a "$@" "$model" > spin.log 2>&1 || { cat spin.log >&2; exit 1; }
  gcc -O1 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c
  ./pan -m200000 > pan.log 2>&1 || true
  if grep -q "max search depth too small\|out of memory\|memory limit" pan.log; then
    echo "Search is incomplete for switches: $*" >&2
    cat pan.log >&2
    exit 1
  fi
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
  assertion=$(sed -n 's/^pan:1: assertion violated *\(.*\) (at depth.*/\1/p' pan.log)
  echo "$errors $states $assertion"
}

status=0

# Runs one check and prints its result: report NAME pass|fail SWITCH...
report() {
  name=$1
  expected=$2
  shift 2
  read -r errors states assertion <<EOF
$(check "$@")
EOF
  verdict=ok
  if [ "$expected" = pass ] && [ "$errors" != 0 ]; then verdict=FAILED; status=1; fi
  # A broken variant must violate an assertion; other errors of the search do not count.
  if [ "$expected" = fail ] && [ -z "$assertion" ]; then verdict="FAILED (not rejected)"; status=1; fi
  printf '%-22s must %s: errors %s, states %s, %s %s\n' \
    "$name" "$expected" "$errors" "$states" "$verdict" "$assertion"
}

