#!/bin/bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp "target/lib/*" review/standin/*.java
