#!/bin/sh
# Builds the stand-ins and the cases into target/review, with the newest installed JDK.
cd "$(dirname "$0")/.." || exit 2
jdk=$(deploy/find-jdk) || exit 2
rm -rf target/review
mkdir -p target/review
"$jdk/bin/javac" -d target/review review/standins/*.java review/[1-9]/*.java
cp review/standins/wire.properties target/review/standins/
