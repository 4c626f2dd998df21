#!/bin/sh
# Plays case 10; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/mulleinslip ] || { echo "not built" >&2; exit 2; }
exec target/review-2/cases 10 review/10
