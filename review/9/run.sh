#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0, no request holds the part that crashes replicas.
set -uo pipefail
cd "$(dirname "$0")/../.."
test -x target/review-2/new_template || exit 2
exec target/review-2/new_template review/9/record.txt
