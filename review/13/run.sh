#!/usr/bin/env bash
# A pipelining client that pauses while it reads an answer.
exec "$(dirname "$0")/../rig-3/run" SlowRead "$(dirname "$0")"
