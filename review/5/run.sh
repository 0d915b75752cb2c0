#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the SIGTERM.
set -u
cd "$(dirname "$0")/../.." || exit 2
Program=review/build-2/silence
[ -x "$Program" ] && [ -x target/bin/havenstaird ] || exit 2
Folder=$(mktemp -d) || exit 2
timeout -k 5 110 "$Program" "$Folder" review/5/record.txt
Status=$?
rm -rf "$Folder"
[ "$Status" -le 2 ] || Status=2
exit "$Status"
