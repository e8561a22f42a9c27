#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -f "$root/target/mothcross.jar" ] && [ -f "$root/target/review-2/SlowBulletin.class" ] || { echo "not built"; exit 2; }
# The case writes the id of each director here; whatever ends this script ends them.
PIDS=$(mktemp) || exit 2
export PIDS
timer=
finish() {
    trap '' HUP INT TERM
    if [ -n "$timer" ]; then
        kill "$timer" 2>/dev/null
        wait "$timer" 2>/dev/null
    fi
    while read -r pid; do
        # An id may belong to another process by now.
        if grep -qa mothcross.jar "/proc/$pid/cmdline" 2>/dev/null; then kill -KILL "$pid" 2>/dev/null; fi
    done < "$PIDS"
    rm -f "$PIDS"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
timeout -k 3 112 java -Xmx1g -cp "$root/target/review-2" SlowBulletin "$root" "$folder" &
timer=$!
wait "$timer"
code=$?
timer=
[ $code -le 1 ] || exit 2
exit $code
