#!/usr/bin/env bash
# Regenerates node/gen from node/proto. Needs protoc, protoc-gen-go and protoc-gen-connect-go on PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --go_out=. --go_opt=module=lacewinglever.dev/node \
  --connect-go_out=. --connect-go_opt=module=lacewinglever.dev/node proto/lacewing/v1/lacewing.proto
protoc -I proto --go_out=. --go_opt=module=lacewinglever.dev/node proto/lacewing/fleet/v1/fleet.proto
