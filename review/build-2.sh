#!/bin/sh
# Builds the stand-ins of the second independent review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
go build -o bin/review2 .
