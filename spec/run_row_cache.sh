#!/bin/sh
# Checks spec/row_cache.pml with Spin: the model must pass and each broken variant must fail.
# Prints the number of states of each run.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
model=$here/row_cache.pml
. "$here/check_model.sh"

report "3 writes" pass -DWRITES=3
report "4 writes" pass -DWRITES=4
for variant in ANY_VERSION IGNORE_GAP NO_WHOLE_COPY; do
  report "$variant" fail -DWRITES=3 "-D$variant"
done
exit $status
