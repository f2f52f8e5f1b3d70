#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. The broker is built by the deploy file's command before.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS= GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -o bin/ ./cmd/...
