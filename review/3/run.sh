#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/toucanwall target/review/case-3; do
    [ -x "$program" ] || { echo "cannot run: $program is missing"; exit 2; }
done
target/review/case-3 review/3
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
