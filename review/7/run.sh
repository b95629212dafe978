#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand_ins_2 ] && [ -x target/release/sorrellockd ] || exit 2
exec target/review-2/stand_ins_2 spoiled_event review/7/record.txt "$TROUBLE"
