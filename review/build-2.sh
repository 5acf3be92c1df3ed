#!/usr/bin/env bash
# Builds the stand-ins of the second review: the cases start no other program than the
# project's node, and their own stand-ins run from the sources, with the libraries that
# the build of the deploy file has installed. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || bash deploy/build.sh
PYTHONPATH=target/deps python3 -B -c "import sys; sys.path.insert(0, 'review'); import standins_2"
