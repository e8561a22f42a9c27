#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
[ -f target/mothcross.jar ] && [ -f target/review-2/SlowArchive.class ] || { echo "not built: see review/build-2.sh"; exit 2; }
timeout -k 3 115 java -Xmx1g -cp target/review-2 SlowArchive "$root" "$folder"
status=$?
[ $status -le 1 ] || status=2
exit $status
