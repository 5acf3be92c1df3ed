#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain Python and use only the libraries
# that the build of the deploy file has put under target/deps.
set -euo pipefail
cd "$(dirname "$0")"
test -d ../target/deps || { echo "run the build of the deploy file first"; exit 1; }
python3 -S -m compileall -q standins 1 2 3
PYTHONPATH=../target/deps:standins python3 -S -c "import deployment, lengthless"
