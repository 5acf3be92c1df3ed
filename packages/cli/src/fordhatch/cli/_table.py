"""Output as tables and as JSON."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

Rows = Sequence[dict[str, Any]]

_console = Console(width=160, highlight=False)


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


def print_table(columns: Sequence[str], rows: Rows) -> None:
    """Print rows under their column names.

    Args:
        columns: Names of the fields to show, in order.
        rows: The rows.
    """
    table = Table(box=None, pad_edge=False)
    for name in columns:
        table.add_column(name.upper().replace("_", " "), no_wrap=True)
    for row in rows:
        table.add_row(*(_format(name, row.get(name)) for name in columns))
    _console.print(table)


def _format(name: str, value: Any) -> str:
    if name in ("at_s", "since_s") and value is not None:
        return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(value))
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return "-" if value in (None, "") else str(value)
