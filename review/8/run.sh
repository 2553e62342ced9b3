#!/bin/sh
# Exit status: 1 if DENIED was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the limit is as large from the start.
cd "$(dirname "$0")/../.." || exit 2
program=review/harness-2/target/release/raised-limit
[ -x "$program" ] && [ -x target/release/heatherring ] || { echo "not built" >&2; exit 2; }
exec timeout -k 5 115 "$program" review/8
