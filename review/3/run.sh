#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# runs it without the disruption. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
jdk=$(deploy/find-jdk) || exit 2
rm -f "$here/record.txt"
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 "$jdk/bin/java" -cp target/review BlockedRouter "$folder" "$here/record.txt"
case $? in
	0) exit 0 ;;
	3) exit 1 ;;
	*) exit 2 ;;
esac
