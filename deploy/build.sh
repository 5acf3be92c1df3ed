#!/usr/bin/env bash
# Installs the pinned libraries under target/deps. Our own packages are run from the
# sources, so that no stale copy of them can ever be served.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/deps.stamp
wanted=$(cat deploy/requirements.txt constraints.txt)
if [ "$(cat "$stamp" 2>/dev/null)" = "$wanted" ]; then
    exit 0
fi
rm -rf target/deps "$stamp"
mkdir -p target
python3 -m pip install -q --disable-pip-version-check --target target/deps \
    -c constraints.txt -r deploy/requirements.txt
printf '%s\n' "$wanted" > "$stamp"
