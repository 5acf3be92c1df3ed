"""Waits of a request for partners that don't respond, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import pytest
from result import Err

from fordhatch.catalog import BackendServer, BackendState
from fordhatch.core import Timer
from fordhatch.serving import SendFailure, SendProblem
from fordhatch.serving.exchange import BackendExchange
from fordhatch_lab import run_in_virtual_time

BACKEND = BackendServer("b1", "app", "10.0.0.1:1", "z1", BackendState.READY, 4)
LIMIT_S = 0.3


async def forever(*_: object, **__: object) -> None:
    await asyncio.Event().wait()


async def took_s(timer: Timer, work: Awaitable[object]) -> tuple[object, float]:
    """Return the result of some work and the time that it took."""
    began_s = timer.now_s()
    return await work, timer.now_s() - began_s


async def refused(*_: object, **__: object) -> object:
    return Err(SendFailure(SendProblem.NOT_SENT, "refused", is_unreachable=True))


async def out_of_time(*_: object, **options: object) -> object:
    await asyncio.sleep(options["head_timeout_s"])
    return Err(SendFailure(SendProblem.SILENT))


async def searches_in_vain(_: object, __: object, options: object) -> None:
    await asyncio.sleep(options.head_timeout_s)


def exchange(send: Callable, *, is_cut_off: bool, relay: Callable) -> BackendExchange:
    """Return an exchange whose probes after a failure don't end."""
    contact = SimpleNamespace(is_cut_off=lambda _: is_cut_off)
    return BackendExchange(
        SimpleNamespace(send=send),
        contact,
        SimpleNamespace(record_failure=forever),
        Timer.from_seed(1),
        SimpleNamespace(),
        SimpleNamespace(send=relay),
    )


# Guards against attempts that outlast their limit: for probes after a failure, and for
# another node and then a connection of their own.
@pytest.mark.parametrize("send", [refused, out_of_time])
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_an_attempt_with_all_its_steps_keeps_to_one_limit(send, is_cut_off) -> None:
    async def scenario() -> None:
        parts = exchange(send, is_cut_off=is_cut_off, relay=searches_in_vain)
        attempt = parts.send(None, BACKEND, head_timeout_s=LIMIT_S)
        got, took = await took_s(parts.timer, attempt)
        assert took <= LIMIT_S + 0.001
        if is_cut_off:
            # Nothing was sent: the request can be refused as not run.
            assert got.unwrap_err().problem is SendProblem.NOT_SENT
        await parts.close()

    run_in_virtual_time(scenario())
