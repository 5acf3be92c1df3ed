"""Each mechanism can be switched off, and the table shows the cost of doing so."""

from __future__ import annotations

from pathlib import Path

import pytest
from ablation import MECHANISMS, Mechanism, row

ROOT = Path(__file__).parents[1]


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda m: m.name)
def test_the_line_of_a_mechanism_occurs_once(mechanism: Mechanism) -> None:
    text = (ROOT / mechanism.path).read_text()
    assert not mechanism.on or text.count(mechanism.on) == 1


def test_a_row_compares_pair_by_pair() -> None:
    assert row("m", [0.7, 0.8], [0.8, 0.8]) == (
        "| m | 0.750 | +0.050 | +0.000 to +0.100 |"
    )
    assert row("m", [], []) == "| m | - | - | - |"
