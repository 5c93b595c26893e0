#!/usr/bin/env bash
# A trial, not a case. Exits with 1 if no new connection was served, 0 if all were, 2 if it could not run.
cd "$(dirname "$0")"
exec ../../../target/review/idle "$PWD" "$(cd ../../.. && pwd)"
