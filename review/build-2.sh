#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's cases, after the
# build of the deploy file. They need a compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/lib-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/lib-2 "$source" \
    -o "target/review-2/$(basename "$source" .cpp)"
done
