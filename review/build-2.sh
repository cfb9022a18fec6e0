#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases 6 to 10. Needs the build of deploy/system.toml, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
mapfile -t sources < <(grep -l '^package second;' review/*.java)
javac -nowarn -d target/review-2 -cp "target/lib/*" "${sources[@]}"
