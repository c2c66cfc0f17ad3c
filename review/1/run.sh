#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run is in record.txt beside this script.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -d "$root/review/build/review" ] || { echo "review/build.sh has not been run"; exit 2; }
exec java -cp "$root/review/build:$root/target/lib/*" review.LinkBreaks "$here/record.txt" "$root" keyed
