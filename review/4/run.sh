#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=..
python3 case.py &
child=$!
trap 'kill "$child"' TERM INT
wait "$child"
result=$?
case $result in
10) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
