#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
harness=target/review/release/review-harness
if [ ! -x "$harness" ] || [ ! -x target/release/heatherring ]; then
  echo "build first: the deploy file's build, then review/build.sh"
  exit 2
fi
export HEATHERRING="$PWD/target/release/heatherring"
exec "$harness" late-order review/2/record.txt
