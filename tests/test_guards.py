"""The text of each guard occurs once in its module, so that it can be removed."""

from __future__ import annotations

from pathlib import Path

import pytest
from crash_guards import CRASH_GUARDS
from entry_guards import ENTRY_GUARDS
from guards_types import Guard
from head_guards import HEAD_GUARDS
from hedge_guards import HEDGE_GUARDS
from order_guards import ORDER_GUARDS
from own_guards import OWN_GUARDS
from platform_guards import PLATFORM_GUARDS
from pressure_guards import PRESSURE_GUARDS
from retry_guards import RETRY_GUARDS
from scarcity_guards import SCARCITY_GUARDS
from store_guards import STORE_GUARDS
from zone_guards import ZONE_GUARDS

ROOT = Path(__file__).parents[1]


@pytest.mark.parametrize(
    "guard",
    [
        *OWN_GUARDS,
        *PLATFORM_GUARDS,
        *ENTRY_GUARDS,
        *CRASH_GUARDS,
        *PRESSURE_GUARDS,
        *STORE_GUARDS,
        *ZONE_GUARDS,
        *RETRY_GUARDS,
        *SCARCITY_GUARDS,
        *HEDGE_GUARDS,
        *HEAD_GUARDS,
        *ORDER_GUARDS,
    ],
    ids=lambda g: g.promise,
)
def test_the_line_of_a_guard_occurs_once(guard: Guard) -> None:
    package, _, name = guard.module.partition("/")
    folder = "platform" if package == "adapter" else f"packages/{package}"
    path = ROOT / folder / "src" / "fordhatch" / package / name
    assert path.read_text().count(guard.present) == 1
