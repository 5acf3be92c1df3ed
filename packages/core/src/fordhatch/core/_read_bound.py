"""Log line and metric for reads that were ended by their bound."""

from __future__ import annotations

from . import _metrics as metrics
from ._log import log_event


def record_bound(what: str, **fields: object) -> None:
    """Record that the bound on something read from a peer has ended it.

    Args:
        what: Which bound; ``docs/design/0022-bounds-on-what-is-read.md`` lists them.
        **fields: Further fields of the log line.
    """
    metrics.READS_BOUNDED.labels(what).inc()
    log_event("read_bounded", what=what, **fields)
