#!/bin/sh
# Builds the stand-ins and tests of the cases 6 to 10, after the build of the deploy file; needs no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/review/target/classes-2"
rm -rf "$out"
mkdir -p "$out"
javac -nowarn -proc:none --release 17 -encoding UTF-8 -cp "$root/target/merlinlever.jar:$root/target/lib/*" -d "$out" "$root"/review/src-2/*.java "$root"/review/[6-9]/Case*.java $(ls "$root"/review/10/Case*.java 2>/dev/null)
