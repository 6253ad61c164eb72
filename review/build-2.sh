#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases 4 to 8 start, into target/review. The files of a
# program have to stand in one folder, so the shared ones are copied beside those of the case.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[4-8]/case.go; do
  number=$(basename "$(dirname "$case")")
  source=target/review/source-$number
  rm -rf "$source"
  mkdir -p "$source"
  cp review/lab-2/*.go "$case" "$source"
  go build -o "target/review/case-$number" "$source"/*.go
done
