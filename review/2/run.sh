#!/bin/sh
# Runs this case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
temporary=$(mktemp -d) || exit 2
end() {
    # The stand-ins end the broker themselves; this is for the case that they were ended first.
    if [ -f "$here/broker.pid" ]; then
        kill -9 "$(cat "$here/broker.pid")" 2>/dev/null
        rm -f "$here/broker.pid"
    fi
    rm -rf "$temporary"
}
trap 'kill "$standin" 2>/dev/null; end; exit 2' INT TERM HUP
rm -f "$here/broker.pid"
TMPDIR="$temporary" "$root/review/bin/standin" wrong-value "$root" "$here" &
standin=$!
wait "$standin"
code=$?
end
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
