#!/bin/bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
number=5
program=target/review/case-$number
[ -x "$program" ] && [ -x target/bin/platform-gateway ] && [ -x target/bin/platform-keeper ] || exit 2
CASE_FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_FOLDER"' EXIT
export CASE_FOLDER TROUBLE=${TROUBLE:-1}
# Its children end with it.
timeout -k 2 112 "$program" "$PWD" "review/$number"
code=$?
if [ -n "${KEEP:-}" ]; then cp -r "$CASE_FOLDER" "$KEEP"; fi
[ "$code" -le 1 ] && exit "$code"
exit 2
