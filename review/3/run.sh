#!/bin/sh
# Plays the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
export ROOT
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
if [ ! -x "$ROOT/target/review/refused_after_run" ] || [ ! -x "$ROOT/target/release/mulleinslip" ]; then
    echo "cannot run: build the deploy file and run review/build.sh first" >&2
    exit 2
fi
"$ROOT/target/review/refused_after_run" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
