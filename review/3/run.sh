#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it
# couldn't run. With TROUBLE=0 it does the same without the disruption.
TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/nutmegway ] || [ ! -x target/review-standin ]; then
	echo "build the deploy file and run review/build.sh first" >&2
	exit 2
fi
exec target/review-standin silent-reader review/3 "$TROUBLE"
