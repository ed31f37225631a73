#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -o target/review-2/rig review/rig-2/*.cpp -lpthread
