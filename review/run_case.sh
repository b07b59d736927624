#!/bin/sh
# Runs a case: run_case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 runs it without the disruption.
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd)
temporary=$(mktemp -d) || exit 2
end() {
    # The stand-ins end the broker themselves; this is for the case that they were ended first.
    if [ -f "$folder/broker.pid" ]; then
        kill -9 "$(cat "$folder/broker.pid")" 2>/dev/null
        rm -f "$folder/broker.pid"
    fi
    rm -rf "$temporary"
}
trap 'kill "$standin" 2>/dev/null; end; exit 2' INT TERM HUP
rm -f "$folder/broker.pid"
TMPDIR="$temporary" "$root/review/bin/standin" "$1" "$root" "$folder" &
standin=$!
wait "$standin"
code=$?
end
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
