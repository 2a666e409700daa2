#!/usr/bin/env bash
# Regenerates the committed C++ sources from the schemas in proto/.
set -euo pipefail
cd "$(dirname "$0")/../.."
protoc --proto_path=proto --cpp_out=src/quetzalquay/generated proto/*.proto
(cd src/quetzalquay/generated &&
  jsonrpcstub ../../../proto/peer.json \
    --cpp-server=quetzalquay::schema::PeerServerStub \
    --cpp-server-file=PeerServerStub.h \
    --cpp-client=quetzalquay::schema::PeerClientStub \
    --cpp-client-file=PeerClientStub.h)
