#!/usr/bin/env bash
# Builds the stand-ins of all scripts of the review. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/review-standin .
