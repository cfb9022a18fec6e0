#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
if [ ! -f target/pollenreach-platform.jar ] || [ ! -f target/review-2/second/CaseMain.class ]; then
  echo "Run the build of deploy/system.toml and review/build-2.sh first."
  exit 2
fi
exec java -Xmx256m -cp "target/review-2:target/lib/*" second.CaseMain cancel "$folder"
