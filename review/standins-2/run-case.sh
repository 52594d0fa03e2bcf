#!/bin/bash
# Runs a case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for needed in "target/review-2/$1.class" target/shallothook-router.jar target/shallothook-sidecar.jar
do
  if [ ! -f "$needed" ]; then
    echo "$needed is missing: run deploy/build and review/build-2.sh" >&2
    exit 2
  fi
done
# The program ends what it started when it gets SIGTERM, so a signal to this script is passed on.
timeout -s TERM 118 java -Xmx256m -cp target/review-2 "$1" "review/$2/record.txt" &
program=$!
trap 'kill -TERM "$program" 2>/dev/null; wait "$program"; exit 2' TERM INT HUP
wait "$program"
case $? in
  40) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac
