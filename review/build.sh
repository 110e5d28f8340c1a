#!/bin/bash
# Builds the stand-ins of the review's scripts under target/, inside the module. Their sources are removed from there
# afterwards, since a test of the project looks at each Go file of the folder.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/_review
trap 'rm -f target/_review/*.go' EXIT
for f in review/kit/*.go.txt; do
  cp "$f" "target/_review/$(basename "${f%.txt}")"
done
go build -o target/_review/kit ./target/_review
