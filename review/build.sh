#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -nowarn -d target/classes src/review/*.java
