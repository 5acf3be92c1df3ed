"""Versions of a store that may come back from an older copy, on its wire."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest
import pytest_asyncio
from aiohttp import web

from fordhatch.adapter import (
    ABSENT,
    GENERATION_HEADER,
    NOTHING,
    Row,
    RowKey,
    StoreClient,
    StoreVersion,
)
from fordhatch.core import Ran, ResultCode
from fordhatch_standins import StoreModel, store_handler

KEY = RowKey("own", "k")


@attrs.define(eq=False, repr=False)
class Wire:
    """A stand-in store whose header can be spoiled."""

    model: StoreModel
    client: StoreClient
    headers: list[str] | None = None
    """What its answers bear instead of the generation; None for the true one."""

    async def version(self) -> StoreVersion:
        return (await self.client.read("own", timeout_s=1)).unwrap().version


@pytest_asyncio.fixture
async def wire() -> AsyncIterator[Wire]:
    model = StoreModel()
    handle = store_handler(model)

    async def spoiled(request: web.BaseRequest) -> web.StreamResponse:
        answer = await handle(request)
        if made.headers is not None:
            answer.headers.popall(GENERATION_HEADER)
            for value in made.headers:
                answer.headers.add(GENERATION_HEADER, value)
        return answer

    server = web.Server(spoiled)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    made = Wire(model, StoreClient.from_address(f"{host}:{port}"))
    yield made
    await made.client.close()
    listener.close()
    await server.shutdown(0.1)


def test_a_bare_number_is_no_version() -> None:
    with pytest.raises(TypeError):
        Row(KEY, 7, b"")
    with pytest.raises(TypeError):
        StoreVersion("1", 7)
    with pytest.raises(TypeError):
        assert StoreVersion(0, 7) < 8


def test_a_later_generation_goes_before_any_number() -> None:
    assert NOTHING < ABSENT < StoreVersion(0, 900) < StoreVersion(1, 3)


async def test_every_answer_tells_the_generation(wire) -> None:
    wire.model.put("own", "k", b"1")
    copy = wire.model.copy()
    wire.model.put("own", "k", b"2")
    assert await wire.version() == StoreVersion(0, 2)
    wire.model.restore(copy)
    page = (await wire.client.read("own", timeout_s=1)).unwrap()
    assert (page.version, page.rows[0].version) == (StoreVersion(1, 1),) * 2
    watched = await wire.client.watch("own", StoreVersion(0, 2), wait_s=0, timeout_s=1)
    assert watched.unwrap_err().code is ResultCode.STORE_HISTORY_GONE


async def test_a_condition_of_an_earlier_generation_is_not_sent(wire) -> None:
    """Its number may have been given out again, for a change that nobody here saw."""
    wire.model.put("own", "k", b"1")
    copy = wire.model.copy()
    wire.model.put("own", "k", b"lost")
    seen = (await wire.client.read("own", timeout_s=1)).unwrap().rows[0].version
    wire.model.restore(copy)
    wire.model.put("own", "k", b"other")
    await wire.version()
    calls = wire.model.calls
    written = await wire.client.write({KEY: seen}, {KEY: b"mine"}, timeout_s=1)
    assert written.unwrap_err().code is ResultCode.STORE_CONFLICT
    assert written.unwrap_err().ran is Ran.NO
    assert wire.model.calls == calls


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [""],
        ["-1"],
        ["nan"],
        ["1.5"],
        ["4", "5"],
        ["9" * 400],
        ["\u0664".encode().decode("latin-1")],
        ["1000004"],
        ["100004"],
    ],
)
async def test_a_generation_that_can_not_be_read_counts_as_the_known_one(
    wire, headers
) -> None:
    wire.model.generation = 3
    assert (await wire.version()).generation == 3
    wire.headers = headers
    assert (await wire.version()).generation == 3
    wire.headers = None
    wire.model.generation = 4
    assert (await wire.version()).generation == 4


async def test_an_answer_of_an_earlier_generation_takes_nothing_back(wire) -> None:
    wire.model.generation = 3
    await wire.version()
    wire.headers = ["2"]
    assert (await wire.version()).generation == 2
    assert wire.client.generation == 3


async def test_the_same_generation_twice_is_one(wire) -> None:
    wire.headers = ["5", "5"]
    assert (await wire.version()).generation == 5
