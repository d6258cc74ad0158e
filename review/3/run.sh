#!/usr/bin/env bash
# Runs case 3; the head of review/standin/moved_route.rs tells what happens.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/lagoonhollowd ] || exit 2
exec target/review/standin moved-route review/3
