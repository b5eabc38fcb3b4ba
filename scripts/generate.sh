#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code; needs flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums -o drivers/generated drivers/peer_message.fbs
