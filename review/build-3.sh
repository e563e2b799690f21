#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-3"
rm -rf target
mkdir -p target
javac -encoding UTF-8 --release 17 --add-modules jdk.httpserver -Xlint:all -d target src/*.java
