#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sorrellockd ] && [ -x "target/review/case-$case" ] || { echo "build it first: review/build.sh"; exit 2; }
RECORD="review/$case/record.txt" exec "target/review/case-$case"
