#!/bin/sh
# Compiles the stand-ins and the cases into review/target. Needs the JDK only; the deploy file's build makes the sender itself.
set -eu
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes src/*.java
