#!/usr/bin/env bash
# Builds the tests and stand-ins of this folder with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -Xlint:all,-try -Werror -d target/classes src/review/*.java
