#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/, with the packages of the deploy
# file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/rig-3/*.cpp; do
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/rig-3 \
    -o "target/review-3/$(basename "$source" .cpp)" "$source" &
done
status=0
for job in $(jobs -p); do
  wait "$job" || status=1
done
exit $status
