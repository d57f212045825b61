#!/usr/bin/env bash
# Builds the programs of the scripts, with their stand-ins, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for main in */main.go; do
	name=$(dirname "$main")
	GOWORK=$PWD/go.work GOFLAGS=-mod=readonly go build -o "bin/case-$name" "./$name"
done
