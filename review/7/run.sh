#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-7 ] && [ -x target/release/cassiawheel ] || exit 2
timeout 115 target/review-2/case-7
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
