#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code of packages/wire and tests/standin.
set -euo pipefail
cd "$(dirname "$0")/.."
plugin=$(command -v grpc_cpp_plugin)
generate() {
  mkdir -p "$2"
  protoc -I packages/wire/proto -I "$1" --cpp_out="$2" --grpc_out="$2" \
    --plugin=protoc-gen-grpc="$plugin" "$1"/*.proto
}
generate packages/wire/proto packages/wire/generated
if ls tests/standin/proto/*.proto >/dev/null 2>&1; then
  generate tests/standin/proto tests/standin/generated
fi
