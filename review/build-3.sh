#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the scripts of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for main in review/1[1-5]/main.cc; do
    case="$(basename "$(dirname "$main")")"
    "${CXX:-g++}" -std=c++20 -O1 -pthread "$main" -o "target/review-3/$case"
done
