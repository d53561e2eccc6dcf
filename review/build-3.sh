#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/11 to review/14, without a network. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/_harness-3/bin/ ./review/_harness-3
