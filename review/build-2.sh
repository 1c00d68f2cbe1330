#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the scripts of this review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/*/main.cc; do
    case="$(basename "$(dirname "$main")")"
    [ "$case" -ge 6 ] || continue
    "${CXX:-g++}" -std=c++20 -O1 -pthread "$main" -o "target/review-2/$case"
done
