from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
RECURSIVE_REPR = re.compile(r"@attrs\.define\(eq=False(?!, repr=False)")


def test_components_have_no_recursive_repr() -> None:
    """Computing a repr that includes all nested components takes minutes."""
    folders = ("packages", "platform", "standins", "bench")
    paths = [p for folder in folders for p in (ROOT / folder).rglob("*.py")]
    found = [str(p) for p in paths if RECURSIVE_REPR.search(p.read_text())]
    assert found == []
