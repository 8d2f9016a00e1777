#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the stop of the machine.
set -uo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
program=$root/target/apps/peridotport/peridotport
case=$root/target/review/stop_case
[ -x "$program" ] && [ -x "$case" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 110 "$case" "$program" "$folder" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
