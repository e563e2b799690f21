#!/usr/bin/env bash
# Runs the case once and writes record.txt. Exits with 1 if the rule was broken, with 0 if it held and with 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
set -euo pipefail
cd "$(dirname "$0")"
repository="$(cd ../.. && pwd)"
[ -f ../target/classes/review/CountedFailures.class ] && [ -f "$repository/platform/target/limpetgate-platform.jar" ] || exit 2
TROUBLE="${TROUBLE:-1}" exec java -Xmx400m -Dsun.net.httpserver.nodelay=true \
	-Djdk.httpclient.allowRestrictedHeaders=host -cp ../target/classes review.CountedFailures "$PWD" "$repository"
