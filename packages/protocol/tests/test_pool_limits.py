"""Limits of requests to nodes that don't respond, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import pytest

from fordhatch.core import Ran, Timer
from fordhatch.protocol import Link, PeerPool
from fordhatch.protocol.messages import QueryStatus
from fordhatch_lab import run_in_virtual_time

LIMIT_S = 0.25
ADDRESS = "10.0.0.1:1"


async def forever(*_: object) -> None:
    await asyncio.Event().wait()


def writer() -> SimpleNamespace:
    """Return a writer to a node that reads nothing."""
    transport = SimpleNamespace(get_write_buffer_size=lambda: 2**30)
    return SimpleNamespace(
        write=lambda _: None,
        close=lambda: None,
        is_closing=lambda: False,
        drain=forever,
        transport=transport,
    )


async def says_nothing(*_: object) -> tuple[asyncio.StreamReader, SimpleNamespace]:
    return asyncio.StreamReader(), writer()


def full_link(timer: Timer) -> Link:
    """Return an open link whose buffer is full."""
    link = Link(asyncio.StreamReader(), writer(), "a", b"", None, timer, is_client=True)
    link.alive, link._send_key = True, b"k" * 32
    return link


Open = Callable[[PeerPool], Awaitable[object]]


async def open_only(pool: PeerPool) -> object:
    return await pool.open(ADDRESS, QueryStatus(), LIMIT_S)


async def request(pool: PeerPool) -> object:
    return await pool.request(ADDRESS, QueryStatus(), LIMIT_S)


# Guards against requests that wait longer than their limit for a node that is stopped:
# for the connection, for the handshake, in line for either, or for a full buffer.
@pytest.mark.parametrize("ask", [open_only, request])
@pytest.mark.parametrize("stage", ["connection", "handshake", "buffer"])
def test_a_silent_node_costs_each_request_its_limit(
    monkeypatch: pytest.MonkeyPatch, stage: str, ask: Open
) -> None:
    connect = forever if stage == "connection" else says_nothing
    monkeypatch.setattr(asyncio, "open_connection", connect)

    async def scenario() -> None:
        timer = Timer.from_seed(1)
        pool = PeerPool("a", b"key", timer)
        if stage == "buffer":
            pool._links[ADDRESS] = full_link(timer)
        began_s = timer.now_s()
        got = await asyncio.gather(*(ask(pool) for _ in range(20)))
        assert timer.now_s() - began_s <= LIMIT_S + 0.001
        # Only what may have been sent can have run.
        ran = Ran.MAYBE if stage == "buffer" else Ran.NO
        assert {g.unwrap_err().ran for g in got} == {ran}
        link = pool._links.get(ADDRESS)
        assert link is None or not link.alive
        await pool.close()

    run_in_virtual_time(scenario())


# Guards against a request that runs on at another node for a caller that has left.
def test_a_request_that_is_cancelled_while_it_is_sent_is_ended() -> None:
    async def scenario() -> None:
        pool = PeerPool("a", b"key", Timer.from_seed(1))
        link = pool._links[ADDRESS] = full_link(pool.timer)
        asking = asyncio.ensure_future(pool.open(ADDRESS, QueryStatus()))
        await asyncio.sleep(0.1)
        asking.cancel()
        await asyncio.sleep(0.1)
        assert not link.busy
        await pool.close()

    run_in_virtual_time(scenario())
