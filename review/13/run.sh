#!/usr/bin/env bash
# Targets that leave shortly after the store has cut off the watches.
exec "$(dirname "$0")/../rig-3/run" CutWatches "$(dirname "$0")"
