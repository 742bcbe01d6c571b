#!/usr/bin/env bash
# Builds the programs of the third review's cases, which contain their stand-ins, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for main in review/1[1-5]/main.go; do
  folder="$(dirname "$main")"
  go build -o "target/review-3/$(basename "$folder")" "./$folder"
done
