#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and later start, after the build of
# deploy/system.toml. It needs no network: the module has no dependency.
set -e
cd "$(dirname "$0")/standin-3"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-3/ .
