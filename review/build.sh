#!/usr/bin/env bash
# Compiles the stand-ins of the cases with the JDK alone, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
