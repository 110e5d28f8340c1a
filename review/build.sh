#!/bin/bash
# Builds the stand-ins of the review's scripts under target/, inside the module.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/_review
for f in review/kit/*.go.txt; do
  cp "$f" "target/_review/$(basename "${f%.txt}")"
done
go build -o target/_review/kit ./target/_review
