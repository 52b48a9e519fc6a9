#!/bin/sh
# Builds what the scripts of cases 6 and 8 to 10 start beside the program of the deploy file: the project's stand-in of the store.
# The other stand-ins stand in the folders of the cases and need no build.
set -e
cd "$(dirname "$0")/.."
npx tsc -b platform
