from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
REPR_OF_FIELDS = re.compile(r"@attrs\.define\(eq=False(?!, repr=False)")


def test_parts_do_not_print_what_they_hold() -> None:
    """A part that prints its parts, which print theirs, takes minutes to print."""
    folders = ("packages", "platform", "standins", "bench")
    paths = [p for folder in folders for p in (ROOT / folder).rglob("*.py")]
    found = [str(p) for p in paths if REPR_OF_FIELDS.search(p.read_text())]
    assert found == []
