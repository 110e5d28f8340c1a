#!/usr/bin/env bash
# Builds the program of the cases in review/6 to review/10, with all stand-ins that they start, as target/review-2/cases.
# Its sources have the suffix .go.txt, so that they are no package of the module. They are laid out in the module for the
# build only, as a test reads each Go file below the root.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
src=$out/_src
rm -rf "$src"
trap 'rm -rf "$src"' EXIT
mkdir -p "$src"
for f in review/kit-2/*.go.txt; do
  cp "$f" "$src/$(basename "$f" .txt)"
done
go build -trimpath -o "$out/cases" "./$src"
