#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review-2. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/src-2/*.java
