#!/usr/bin/env bash
# Runs a case of the second review: run_case-2.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 runs it without the disruption.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-2 ] || { echo "run review/build-2.sh first"; exit 2; }
rm -f "$folder/broker.pid"
target/review-2 "$1" "$folder" &
case=$!
end() {
    # The program ends its broker itself; this is for the case that the program was ended first.
    [ -f "$folder/broker.pid" ] && kill -KILL "$(cat "$folder/broker.pid")" 2>/dev/null
    rm -f "$folder/broker.pid"
}
trap 'kill "$case" 2>/dev/null; end; exit 2' INT TERM HUP
wait "$case"
code=$?
end
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
