#!/bin/sh
# Builds the stand-ins that the cases start; needs the libraries that the build line of the deploy file has installed, and no network.
set -e
cd "$(dirname "$0")/.."
npx tsc -b platform
