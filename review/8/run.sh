#!/usr/bin/env bash
# Case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; with
# TROUBLE=0 it plays the same without the disruption. Needs the build of deploy/system.toml and
# review/build-2.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/src/app/cyclamenlatch ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 target/review-2/cases cancelled "$folder" "$here/record.txt"
verdict=$?
[ $verdict -le 2 ] || verdict=2
exit $verdict
