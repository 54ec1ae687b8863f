#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Needs the deploy file's build and
# review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/review2/UntriedGivenUp.class ] && [ -f target/slipfield.jar ] && [ -f target/sender.jsa ] || exit 2
java -cp target/review-2 review2.UntriedGivenUp review/8 &
pid=$!
trap 'kill $pid 2>/dev/null; wait $pid; exit 2' INT TERM
wait $pid
case $? in
20) exit 0 ;;
21) exit 1 ;;
*) exit 2 ;;
esac
