#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/support-2/*.cpp; do
    g++ -std=c++20 -O1 -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
