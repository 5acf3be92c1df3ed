#!/usr/bin/env bash
# Installs the pinned libraries under target/deps and compiles everything once, also the
# code that libraries generate, so that a node starts quickly. Our own packages are run
# from the sources: compiled files are checked against them, and no stale copy can ever
# be served.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/deps.stamp
wanted=$(cat deploy/requirements.txt constraints.txt)
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    rm -rf target/deps "$stamp"
    mkdir -p target
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -c constraints.txt -r deploy/requirements.txt
    printf '%s\n' "$wanted" > "$stamp"
fi
python3 -m compileall -q platform/src packages/*/src deploy
PYTHONPATH=target/deps python3 -S deploy/entry.py --record
