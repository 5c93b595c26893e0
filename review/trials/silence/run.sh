#!/usr/bin/env bash
# A trial, not a case. Exits with 1 if a key was used for too long, 0 if not, 2 if it could not run.
cd "$(dirname "$0")"
exec ../../../target/review/silence "$PWD" "$(cd ../../.. && pwd)"
