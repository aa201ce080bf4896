#!/usr/bin/env bash
# Builds the program that plays the scripts of the cases, with its stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-case ./review/_kit
