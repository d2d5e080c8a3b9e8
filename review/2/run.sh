#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/release/acaciad ] || { echo "not built" >&2; exit 2; }
exec target/review/stand release review/2
