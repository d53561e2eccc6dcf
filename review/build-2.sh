#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review's cases start. The system itself is built by the line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/harness-2 ./review/_harness-2
