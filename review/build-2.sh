#!/bin/sh
# Builds the stand-ins of the cases from 6 on. They use the standard library only.
set -e
cd "$(dirname "$0")/site2"
mkdir -p ../../target
go build -o ../../target/review-site2 .
