"""The store's client against the stand-in store, over real connections."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from aiohttp import web
from broken_answers import parser
from loopback_proxy import LoopbackProxy

from fordhatch.adapter import ABSENT, RowKey, StoreClient, StoreVersion
from fordhatch.core import Ran, ResultCode
from fordhatch_standins import StoreModel, store_handler

__all__ = ["parser"]

KEY = RowKey("own", "k")


def version_at(number: int) -> StoreVersion:
    return StoreVersion(0, number)


@pytest_asyncio.fixture
async def store() -> AsyncIterator[tuple[StoreModel, StoreClient]]:
    model = StoreModel()
    server = web.Server(store_handler(model))
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    client = StoreClient.from_address(f"{host}:{port}")
    yield model, client
    await client.close()
    listener.close()
    await server.shutdown(0.1)


async def test_rows_are_read_in_pages(store) -> None:
    model, client = store
    for index in range(7):
        model.put("own", f"k{index}", b"v%d" % index)
    first = (await client.read("own", limit=5, timeout_s=1)).unwrap()
    assert [r.row_key.key for r in first.rows] == ["k0", "k1", "k2", "k3", "k4"]
    assert first.has_more
    rest = (await client.read("own", first_key="k4\0", timeout_s=1)).unwrap()
    assert [r.value for r in rest.rows] == [b"v5", b"v6"]
    assert not rest.has_more
    assert rest.version == version_at(7)


async def test_a_watch_returns_changes_and_removals(store) -> None:
    model, client = store
    model.put("own", "k", b"1")
    watch = asyncio.ensure_future(
        client.watch("own", version_at(1), wait_s=2, timeout_s=3)
    )
    await asyncio.sleep(0.02)
    model.remove("own", "k")
    changes = (await watch).unwrap()
    assert [(r.row_key.key, r.is_removed) for r in changes.rows] == [("k", True)]
    assert changes.version == version_at(2)


async def test_a_watch_without_changes_confirms_the_version(store) -> None:
    model, client = store
    model.put("other", "k", b"1")
    changes = (
        await client.watch("own", version_at(0), wait_s=0.01, timeout_s=1)
    ).unwrap()
    assert changes.rows == ()
    assert changes.version == version_at(1)


async def test_a_watch_beyond_the_kept_history_fails_with_its_own_code(store) -> None:
    model, client = store
    model.put("own", "k", b"1")
    model.forget_history()
    failed = await client.watch("own", version_at(0), wait_s=0.01, timeout_s=1)
    assert failed.unwrap_err().code is ResultCode.STORE_HISTORY_GONE


async def test_a_write_takes_effect_only_if_its_condition_holds(store) -> None:
    _, client = store
    made = (await client.write({KEY: ABSENT}, {KEY: b"a"}, timeout_s=1)).unwrap()
    assert made.is_committed
    again = (await client.write({KEY: ABSENT}, {KEY: b"b"}, timeout_s=1)).unwrap()
    assert not again.is_committed
    assert [(r.version, r.value) for r in again.conflicts] == [(made.version, b"a")]
    removed = await client.write({KEY: made.version}, {}, (KEY,), timeout_s=1)
    assert removed.unwrap().is_committed


async def test_a_refused_write_has_not_run(store) -> None:
    model, client = store
    model.faults.is_down = True
    failure = (await client.write({}, {KEY: b"a"}, timeout_s=1)).unwrap_err()
    assert failure.ran is Ran.NO
    assert not model.rows


async def test_a_write_without_answer_may_have_run(store) -> None:
    model, client = store
    model.faults.lost_answers = 1
    failure = (await client.write({}, {KEY: b"a"}, timeout_s=1)).unwrap_err()
    assert failure.ran is Ran.MAYBE
    assert len(model.rows) == 1


async def test_a_call_to_a_silent_store_times_out(store) -> None:
    model, client = store
    model.faults.is_silent = True
    failed = await client.read("own", timeout_s=0.05)
    assert failed.unwrap_err().code is ResultCode.STORE_UNAVAILABLE


async def test_silent_connections_fail_one_call_only(store) -> None:
    model, client = store
    model.put("own", "k", b"1")
    proxy = LoopbackProxy(int(client.address.rpartition(":")[2]))
    through = StoreClient.from_address(f"127.0.0.1:{await proxy.start()}")
    watches = [
        through.watch("own", version_at(1), wait_s=0.1, timeout_s=5) for _ in range(3)
    ]
    assert all(got.is_ok() for got in await asyncio.gather(*watches))
    proxy.silence_open()
    lost = await through.read("own", timeout_s=0.2)
    assert lost.unwrap_err().code is ResultCode.STORE_UNAVAILABLE
    assert (await through.read("own", timeout_s=5)).is_ok()
    await through.close()
    await proxy.close()


async def test_calls_in_progress_continue_when_the_session_is_replaced(
    store,
) -> None:
    model, client = store
    model.put("own", "k", b"1")
    watch = asyncio.ensure_future(
        client.watch("own", version_at(1), wait_s=5, timeout_s=6)
    )
    await asyncio.sleep(0.05)
    first = client._session
    client._replace_session(first)
    assert (await client.read("own", timeout_s=5)).is_ok()
    model.put("own", "k", b"2")
    assert (await watch).is_ok()
    assert first.closed


def block_event_loop(duration_s: float) -> None:
    """Block the event loop, so that all timers due meanwhile run in one iteration."""
    time.sleep(duration_s)


async def test_a_change_at_the_end_of_a_watch_is_not_skipped() -> None:
    model = StoreModel()
    version = model.put("own", "k", b"1")
    watch = asyncio.ensure_future(model.changes("own", version, wait_s=0.01))
    await asyncio.sleep(0)
    # Due after the timeout of the watch and before the watch resumes.
    asyncio.get_running_loop().call_later(0.011, model.put, "own", "k", b"2")
    block_event_loop(0.05)
    found = await watch
    assert [row.value for row in found] == [b"2"]


def answer_of_version(number: int) -> bytes:
    body = b'{"ver": %d, "rows": []}' % number
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


LATE_S = 0.02
EXTRA_VERSION = 99


# Guards against an answer behind another one that is taken for that of the next call.
@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("cut", [None, 3, 40])
async def test_another_answer_behind_one_is_none_of_the_next_call(
    parser, is_late: bool, cut: int | None
) -> None:
    calls = 0

    async def serve(reader, writer) -> None:
        nonlocal calls
        extra = answer_of_version(EXTRA_VERSION)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                calls += 1
                writer.write(answer_of_version(calls))
                if is_late:
                    await asyncio.sleep(LATE_S)
                writer.write(extra[:cut])
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    client = StoreClient.from_address(f"{host}:{port}")
    for number in (1, 2, 3):
        found = await client.read("own", timeout_s=2)
        assert found.unwrap().version == version_at(number)
        await asyncio.sleep(2 * LATE_S)
    await client.close()
    listener.close()
