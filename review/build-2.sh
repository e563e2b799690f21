#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/stand-ins-2/*.java
