#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
folder=$(pwd)
name=$(basename "$folder")
cd ../.. || exit 2
[ -x target/currantwood ] && [ -x "target/review/$name" ] || { echo "not built"; exit 2; }
exec "target/review/$name" "$folder/record.txt"
