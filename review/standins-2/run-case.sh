#!/usr/bin/env bash
# Runs the program of the case in folder $1; TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
repository=$(cd "$folder/../.." && pwd)
program="$repository/target/review-2/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$repository/target/programs/citronloftd" ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 1 116 "$program" "$repository" "$work" "$folder/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
