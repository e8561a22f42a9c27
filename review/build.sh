#!/bin/sh
# Builds the stand-ins and the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -nowarn -d out standin/*.java
