#!/bin/bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp "target/lib/*" review/*.java
