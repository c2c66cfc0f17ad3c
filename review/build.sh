#!/bin/sh
# Builds the stand-ins of the cases; run after the build of the deploy file (needs target/merlinlever.jar, target/lib).
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac --release 17 -encoding UTF-8 -cp "../target/merlinlever.jar:../target/lib/*" -d build src/review/*.java
