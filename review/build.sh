#!/bin/bash
# Builds the stand-ins of the cases into target/review/. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++20 -O1 -g -Wall -pthread -o "target/review/case-$number" "$source"
done
