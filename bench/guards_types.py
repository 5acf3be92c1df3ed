"""What a guard is, for the lists that ``guards.py`` runs."""

from __future__ import annotations

import attrs


@attrs.frozen
class Guard:
    """One guard, how to take it out, and the test that must then fail."""

    promise: str
    module: str
    """``package/file`` below the package's ``src/fordhatch/<package>``."""
    present: str
    absent: str
    test: str
