#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -d "$root/review/target/classes" ] && [ -f "$root/target/slipfield.jar" ] || { echo "build first" >&2; exit 2; }
exec java -Xmx512m -Droot="$root" -cp "$root/review/target/classes" BrokerLinkLost "$folder/record.txt"
