"""Load of backend servers and demand for models, over all nodes."""

from __future__ import annotations

from ._collector_choice import CollectorChoice
from ._demand_meter import MAX_PROMPT_RATIO, DemandMeter
from ._load_book import LoadBook
from ._memory_need import NO_NEED, MemoryNeed
from ._shared_load import MAX_TOTAL_AGE_S, BackendLoad, SharedLoad, Totals

__all__ = [
    "MAX_PROMPT_RATIO",
    "MAX_TOTAL_AGE_S",
    "NO_NEED",
    "BackendLoad",
    "CollectorChoice",
    "DemandMeter",
    "LoadBook",
    "MemoryNeed",
    "SharedLoad",
    "Totals",
]
