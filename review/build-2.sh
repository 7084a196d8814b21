#!/usr/bin/env bash
# Builds what the scripts of the second review start: the program, by the command of the deploy
# file, with the project's fake store in it, and the stand-ins below review/_second/platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
go build -o target/second ./review/_second/platform
