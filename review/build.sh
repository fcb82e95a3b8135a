#!/bin/sh
# Builds the stand-ins that the cases start, into the folder of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
