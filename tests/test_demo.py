"""README's main command, with its separate processes."""

from __future__ import annotations

import demo
import pytest


# Guards against a young site that refuses the retries of streams whose group broke.
@pytest.mark.parametrize("killed_member", [0, 2, 7])
async def test_the_demo_ends_with_all_answers_whole(killed_member, capsys) -> None:
    assert await demo.main(killed_member) == 0, capsys.readouterr().out
