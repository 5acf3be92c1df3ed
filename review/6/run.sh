#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH=target/deps exec python3 -B review/6/case.py
