#!/bin/sh
# Builds the program of the cases of the second review, with its stand-ins. Run it after the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
mkdir -p ../target && GOWORK=off go build -o ../target/review-2 ./second
