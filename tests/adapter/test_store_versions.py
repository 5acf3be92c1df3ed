"""Versions of a store that may be restored from a backup, as the client reads them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest
import pytest_asyncio
from aiohttp import web

from fordhatch.adapter import (
    ABSENT,
    BEFORE_ALL_VERSIONS,
    GENERATION_HEADER,
    Row,
    RowKey,
    StoreClient,
    StoreVersion,
)
from fordhatch.core import Ran, ResultCode
from fordhatch_standins import StoreModel, store_handler

KEY = RowKey("own", "k")


@attrs.define(eq=False, repr=False)
class StoreFixture:
    """A stand-in store whose generation header can be replaced."""

    model: StoreModel
    client: StoreClient
    headers: list[str] | None = None
    """Values sent instead of the generation; None for the true one."""

    async def version(self) -> StoreVersion:
        return (await self.client.read("own", timeout_s=1)).unwrap().version


@pytest_asyncio.fixture
async def store() -> AsyncIterator[StoreFixture]:
    model = StoreModel()
    handle = store_handler(model)

    async def replace_generation(request: web.BaseRequest) -> web.StreamResponse:
        answer = await handle(request)
        if store_fixture.headers is not None:
            answer.headers.popall(GENERATION_HEADER)
            for value in store_fixture.headers:
                answer.headers.add(GENERATION_HEADER, value)
        return answer

    server = web.Server(replace_generation)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    store_fixture = StoreFixture(model, StoreClient.from_address(f"{host}:{port}"))
    yield store_fixture
    await store_fixture.client.close()
    listener.close()
    await server.shutdown(0.1)


def test_a_bare_number_is_rejected_as_a_version() -> None:
    with pytest.raises(TypeError):
        Row(KEY, 7, b"")
    with pytest.raises(TypeError):
        StoreVersion("1", 7)
    with pytest.raises(TypeError):
        assert StoreVersion(0, 7) < 8


def test_versions_are_ordered_by_generation_before_number() -> None:
    assert BEFORE_ALL_VERSIONS < ABSENT < StoreVersion(0, 900) < StoreVersion(1, 3)


async def test_every_answer_has_the_generation(store) -> None:
    store.model.put("own", "k", b"1")
    copy = store.model.copy()
    store.model.put("own", "k", b"2")
    assert await store.version() == StoreVersion(0, 2)
    store.model.restore(copy)
    page = (await store.client.read("own", timeout_s=1)).unwrap()
    assert (page.version, page.rows[0].version) == (StoreVersion(1, 1),) * 2
    watched = await store.client.watch("own", StoreVersion(0, 2), wait_s=0, timeout_s=1)
    assert watched.unwrap_err().code is ResultCode.STORE_HISTORY_GONE


async def test_a_condition_of_an_earlier_generation_is_not_sent(store) -> None:
    """The store may have reused its number for a change unknown to the client."""
    store.model.put("own", "k", b"1")
    copy = store.model.copy()
    store.model.put("own", "k", b"lost")
    seen = (await store.client.read("own", timeout_s=1)).unwrap().rows[0].version
    store.model.restore(copy)
    store.model.put("own", "k", b"other")
    await store.version()
    calls = store.model.calls
    written = await store.client.write({KEY: seen}, {KEY: b"mine"}, timeout_s=1)
    assert written.unwrap_err().code is ResultCode.STORE_CONFLICT
    assert written.unwrap_err().ran is Ran.NO
    assert store.model.calls == calls


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
async def test_a_malformed_generation_counts_as_the_newest_known_one(
    store, headers
) -> None:
    store.model.generation = 3
    assert (await store.version()).generation == 3
    store.headers = headers
    assert (await store.version()).generation == 3
    store.headers = None
    store.model.generation = 4
    assert (await store.version()).generation == 4


async def test_an_answer_of_an_earlier_generation_keeps_the_newest_known_one(
    store,
) -> None:
    store.model.generation = 3
    await store.version()
    store.headers = ["2"]
    assert (await store.version()).generation == 2
    assert store.client.generation == 3


async def test_a_repeated_equal_generation_header_is_accepted(store) -> None:
    store.headers = ["5", "5"]
    assert (await store.version()).generation == 5
