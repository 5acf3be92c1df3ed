"""Type of the guards in the lists that ``guards.py`` checks."""

from __future__ import annotations

import attrs


@attrs.frozen
class Guard:
    """Code that upholds a guarantee, and the test that fails without it."""

    promise: str
    """Guarantee that the guard upholds; its name in the results."""
    module: str
    """``package/file`` of a file in ``src/fordhatch/<package>`` of the package."""
    present: str
    """Text of the guard, which occurs once in the module."""
    absent: str
    """Text that replaces the guard to remove it."""
    test: str
    """Arguments of pytest that select the test."""
