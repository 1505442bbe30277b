#!/bin/sh
# Builds the stand-ins of the second review, in Go without modules from outside, into bin/review-2.
set -eu
cd "$(dirname "$0")/kit2"
mkdir -p ../../bin
GOWORK=off go build -buildvcs=false -o ../../bin/review-2 .
