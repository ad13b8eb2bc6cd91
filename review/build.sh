#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs only the standard
# library.
set -e
cd "$(dirname "$0")/harness"
go build -o ../bin/harness .
