#!/usr/bin/env bash
# Builds what the scripts of the cases 6 and up start, beside the programs of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-stand-2 ./review/stand2
mkdir -p target/review
for program in 7 8 rig/memory; do
	go build -ldflags=-linkmode=external -o "target/review/${program#rig/}" "./review/$program"
done
