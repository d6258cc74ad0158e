#!/usr/bin/env bash
# Runs case 4; the head of review/standin/silent_config.rs tells what happens.
# TROUBLE=0 does the same without the disruption and must exit with 0.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
0 | 1) ;;
*) exit 2 ;;
esac
[ -x target/review/standin ] && [ -x target/release/lagoonhollowd ] || exit 2
exec target/review/standin silent-config review/4 "$TROUBLE"
