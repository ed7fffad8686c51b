#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/src/fireflyslip ] || exit 2
REVIEW_SCRATCH=$(mktemp -d) || exit 2
export REVIEW_SCRATCH
trap 'rm -rf "$REVIEW_SCRATCH"' EXIT
timeout -k 5 110 "$program" "$here"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$REVIEW_SCRATCH" "$KEEP_LOGS"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
