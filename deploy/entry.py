"""Starts a node on the users' platform from the sources."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(ROOT / "platform" / "src"),
    *map(str, sorted(ROOT.glob("packages/*/src"))),
]

from fordhatch.node import run_on_platform  # noqa: E402

if __name__ == "__main__":
    run_on_platform()
