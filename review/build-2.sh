#!/usr/bin/env bash
# Builds the program that the scripts of the cases from 6 on start: the deployment of a case with
# all its stand-ins. The forwarder is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-kit-2 ./review/_kit2
