#!/usr/bin/env bash
# Builds what the scripts of the third review start beside target/currantwood: target/third, which
# is the judge, the clients, the store and, as `target/third worker`, each worker.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/third ./review/third
