#!/usr/bin/env bash
# No case (see review/REPORT.md). Exits with 1 if a machine ended or
# passed its memory, 0 if none did, 2 if it could not run. TROUBLE=0 leaves the
# disruption out.
set -u
Here=$(cd "$(dirname "$0")" && pwd)
cd "$Here/../../.." || exit 2
if [ ! -x target/bin/havenstaird ] || [ ! -x review/build/names ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 2 115 review/build/names "$Here/record.txt" "$Folder" "${TROUBLE:-1}"
Code=$?
tail -n 1 "$Here/record.txt"
[ $Code -le 1 ] && exit $Code
exit 2
