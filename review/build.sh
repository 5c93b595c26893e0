#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into target/review/. Needs Go only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOFLAGS=-mod=readonly go build -o ../target/review/ ./cmd/...
