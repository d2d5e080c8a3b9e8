#!/bin/sh
# Starts the balancers with the command of the deploy file, and the stand-ins of review/4/stand.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/acaciad ] && [ -x target/review-2/release/review-stand ] || exit 2
exec target/review-2/release/review-stand old-page review/6
