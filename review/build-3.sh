#!/usr/bin/env bash
# Builds the program that runs the cases 11 to 15 and their stand-ins, from review/kit-3, below target/. The sources
# don't stay there, since the project's tests look at all Go files of the tree.
set -eu
cd "$(dirname "$0")/.."
src=target/_review-3/src
trap 'rm -rf "$src"' EXIT
rm -rf "$src"
mkdir -p "$src"
for f in review/kit-3/*.go.txt; do
  cp "$f" "$src/$(basename "$f" .txt)"
done
go build -o target/_review-3/case "./$src"
