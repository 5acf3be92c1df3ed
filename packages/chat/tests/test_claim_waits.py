"""Waits of a request for the store and the holder of a claim, in virtual time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs
import pytest
from result import Err

from fordhatch.adapter import StoreVersion
from fordhatch.chat import ClaimService, ClaimState
from fordhatch.chat._claim_rows import Claim, ClaimKey
from fordhatch.core import Failure, Ran, ResultCode, Timer
from fordhatch_lab import run_in_virtual_time

KEY = ClaimKey("w", "k", "digest")
CLAIM = Claim("w1", ClaimState.RUNNING, "digest", "other", "s", 1e12)


class SilentStore:
    """A store that answers nothing."""

    generation = 1

    async def write(self, *_: object, timeout_s: float, **__: object) -> object:
        await asyncio.sleep(timeout_s)
        return Err(Failure.from_code(ResultCode.STORE_UNAVAILABLE, ran=Ran.MAYBE))

    read = write


class StoppedHolder:
    """Connections to the node that holds the claim, which is stopped."""

    async def request(self, _: str, __: object, timeout_s: float) -> object:
        await asyncio.sleep(timeout_s)
        return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))


# Guards against requests with a key that wait for the store, or for the node that holds
# their claim, longer than they have left; and against a holder that is taken for ended
# because there was no time to ask it.
@pytest.mark.parametrize("left_s", [0.02, 0.3, 1.3, 3.0])
def test_a_claim_is_waited_for_only_until_the_deadline(left_s: float) -> None:
    async def scenario() -> None:
        timer = Timer.from_seed(1)
        nodes = {"other": SimpleNamespace(address="a:1")}
        claims = ClaimService(
            "n", "s1", SilentStore(), StoppedHolder(), lambda: nodes, timer, 60.0, 9999
        )
        claims.restorer = SimpleNamespace(may_claim=lambda: True, generation=1)
        began_s = timer.now_s()
        got = await claims.acquire(KEY, began_s + left_s)
        assert got.unwrap_err().ran is Ran.NO
        assert timer.now_s() - began_s <= min(left_s, 2.0) + 0.05
        began_s = timer.now_s()
        claim = attrs.evolve(CLAIM, version=StoreVersion(1, 1))
        got = await claims.wait(KEY, claim, left_s)
        assert got.unwrap_err().code is ResultCode.IN_PROGRESS
        assert timer.now_s() - began_s <= left_s + 0.05
        await claims._tasks.close()

    run_in_virtual_time(scenario())
