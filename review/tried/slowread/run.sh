#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
Here=$(cd "$(dirname "$0")" && pwd)
cd "$Here/../../.." || exit 2
if [ ! -x target/bin/havenstaird ] || [ ! -x review/build/slowread ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 2 115 review/build/slowread "$Here/record.txt" "$Folder" "${TROUBLE:-1}"
Code=$?
tail -n 1 "$Here/record.txt"
[ $Code -le 1 ] && exit $Code
exit 2
