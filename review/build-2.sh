#!/bin/sh
# Builds the stand-ins and the cases 4 to 8 of the second review into target/review-2, with
# the JDK that builds the project and without any library.
cd "$(dirname "$0")/.." || exit 2
jdk=$(deploy/find-jdk) || exit 2
out=target/review-2
rm -rf "$out"
mkdir -p "$out" || exit 2
"$jdk/bin/javac" -d "$out" review/standins-2/*.java review/[4-8]/src/*.java || exit 2
cp review/standins-2/wire.properties "$out" || exit 2
echo "$jdk/bin/java" > "$out/java"
