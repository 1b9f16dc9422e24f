#!/usr/bin/env bash
# Plays this case once: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
lab="$root/target/review-3/lab"
[ -x "$lab" ] && [ -x "$root/target/src/app/cyclamenlatch" ] || exit 2
timeout -k 2 115 "$lab" filled-advice "$root" "$here"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
