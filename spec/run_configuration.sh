#!/bin/sh
# Checks spec/configuration.pml with Spin: the model must pass and each broken variant must fail.
# Prints the number of states of each run.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
model=$here/configuration.pml
. "$here/check_model.sh"

report "2 hosts, 3 revisions" pass -DHOSTS=2 -DREVISIONS=3 -DCHANGES=3 -DRESTARTS=1
report "3 hosts, 2 revisions" pass -DHOSTS=3 -DREVISIONS=2 -DCHANGES=2 -DRESTARTS=1
for variant in NO_CONDITION APPLY_ANY SKIP_GAP EARLY_APPLY TRUST_ABSENT NEW_REVISION REFUSE_IN_DOUBT; do
  report "$variant" fail -DHOSTS=2 -DREVISIONS=3 -DCHANGES=3 -DRESTARTS=1 "-D$variant"
done
exit $status
