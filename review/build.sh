#!/bin/sh
# Builds the stand-ins of the cases.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o bin/rig rig/*.cpp
