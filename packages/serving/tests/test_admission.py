"""Admission control: malformed requests, keys, routes, freshness, shutdown."""

from __future__ import annotations

import asyncio
import socket

import pytest
from serving_site import CALL_HEADERS, KEY, configuration

from fordhatch.adapter import CONFIGURATION_KEY, OPERATOR_TABLE
from fordhatch.serving import HttpServer
from fordhatch_standins import http_answer

HEAD = f"Host: app.example\r\nX-Attempt-Id: r1\r\nApi-Key: {KEY}\r\n"


async def answers(request, writer) -> None:
    writer.write(http_answer(request, b"ok"))


MALFORMED = {
    "chunk size with a prefix": f"POST /once/ HTTP/1.1\r\n{HEAD}"
    "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n",
    "space before the colon": f"POST /once/ HTTP/1.1\r\n{HEAD}"
    "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "a NUL in a header": f"POST /once/ HTTP/1.1\r\n{HEAD}X-A: a\0b\r\n\r\n",
    "two hosts": f"POST /once/ HTTP/1.1\r\n{HEAD}Host: other\r\n\r\n",
    "length and chunks": f"POST /once/ HTTP/1.1\r\n{HEAD}Content-Length: 5\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": f"POST /once/ HTTP/1.1\r\n{HEAD}Content-Length: 5\r\n"
    "Content-Length: 6\r\n\r\nabcdef",
    "a signed length": f"POST /once/ HTTP/1.1\r\n{HEAD}Content-Length: +5\r\n\r\nabcde",
    "a folded header": f"POST /once/ HTTP/1.1\r\n{HEAD}X-A: a\r\n b\r\n\r\n",
    "a name with a space": f"POST /once/ HTTP/1.1\r\n{HEAD}X A: a\r\n\r\n",
    "no version": f"POST /once/\r\n{HEAD}\r\n",
    "a space in the path": f"POST /once/ x HTTP/1.1\r\n{HEAD}\r\n",
    "an unknown coding": f"POST /once/ HTTP/1.1\r\n{HEAD}"
    "Transfer-Encoding: gzip, identity\r\n\r\n",
    "no host": "POST /once/ HTTP/1.1\r\nX-Attempt-Id: r1\r\n\r\n",
    "a path of another form": f"POST http://app.example/once/ HTTP/1.1\r\n{HEAD}\r\n",
}


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_requests_reach_no_backend_server(site, name) -> None:
    backend = await site.add_backend(answers)
    smuggled = f"POST /once/2 HTTP/1.1\r\n{HEAD}Content-Length: 0\r\n\r\n"
    got = await site.raw((MALFORMED[name] + smuggled).encode())
    assert not got.startswith(b"HTTP/1.1 2")
    assert backend.seen == []


async def test_a_chunked_body_is_forwarded_complete(site) -> None:
    backend = await site.add_backend(answers)
    got = await site.raw(
        f"POST /once/ HTTP/1.1\r\n{HEAD}Connection: close\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n".encode()
    )
    assert got.startswith(b"HTTP/1.1 200")
    assert backend.seen[0].body == b"abcde"


async def test_a_body_beyond_the_limit_is_refused(site) -> None:
    backend = await site.add_backend(answers)
    got = await site.ask("/once/1", body=b"x" * 100_001)
    assert got.status == 413
    assert backend.seen == []


@pytest.mark.parametrize("key", ["", "wrong", KEY.upper()])
async def test_an_unknown_key_is_refused(site, key) -> None:
    backend = await site.add_backend(answers)
    got = await site.ask("/once/1", **{"Api-Key": key})
    assert got.status == 401
    assert backend.seen == []


async def test_a_request_with_two_keys_is_refused(site) -> None:
    backend = await site.add_backend(answers)
    got = await site.raw(
        f"POST /once/ HTTP/1.1\r\n{HEAD}Api-Key: {KEY}\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
    )
    assert got.startswith(b"HTTP/1.1 401")
    assert backend.seen == []


async def test_an_unknown_path_is_refused(site) -> None:
    got = await site.ask("/none/1")
    assert got.status == 404


async def test_refusals_before_the_first_configuration_can_be_retried(site) -> None:
    site.view.configuration.current = None
    got = await site.ask("/once/1")
    assert got.status == 503
    assert "Retry-After" in got.headers


async def test_a_removed_key_is_refused_at_once(site) -> None:
    backend = await site.add_backend(answers)
    assert (await site.ask("/once/1")).status == 200
    site.model.put(
        OPERATOR_TABLE, CONFIGURATION_KEY, configuration(version=2, tenants=[])
    )
    await site.until(lambda: site.view.configuration.version == 2)
    assert (await site.ask("/once/1")).status == 401
    assert len(backend.seen) == 1


async def test_without_confirmation_keys_are_used_no_longer_than_allowed(site) -> None:
    backend = await site.add_backend(answers)
    site.model.faults.is_down = True
    site.view.operators.confirmed_s -= 3.0
    assert (await site.ask("/once/1")).status == 200
    assert not site.state.is_ready()
    site.view.operators.confirmed_s -= 2.0
    got = await site.ask("/once/1")
    assert got.status == 503
    assert float(got.headers["Retry-After"]) < 1
    assert len(backend.seen) == 1


async def test_a_node_cut_off_from_the_store_sends_no_final_refusal(site) -> None:
    site.model.faults.is_down = True
    site.view.operators.confirmed_s -= 1.8
    assert (await site.ask("/none/1")).status == 503
    assert (await site.ask("/once/1", **{"Api-Key": "new"})).status == 503


async def test_a_leaving_node_still_serves_and_closes_connections(site) -> None:
    await site.add_backend(answers)
    site.state.leave()
    got = await site.ask("/once/1")
    assert got.status == 200
    assert got.headers["Connection"] == "close"
    assert not site.state.is_ready()


async def test_a_node_about_to_stop_refuses_new_requests(site) -> None:
    backend = await site.add_backend(answers)
    site.state.leave(since_s=site.state.timer.now_s() - 5)
    got = await site.ask("/once/1")
    assert got.status == 503
    assert backend.seen == []


def queued_call(port: int, path: str) -> socket.socket:
    """Return a connection with a request, sent before the connection is accepted."""
    caller = socket.create_connection(("127.0.0.1", port))
    fields = {**CALL_HEADERS, "X-Attempt-Id": "early", "Content-Length": "0"}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    caller.sendall(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode())
    return caller


async def test_a_request_sent_before_the_node_accepts_is_served(site) -> None:
    await site.add_backend(answers)
    port = socket.create_server(("127.0.0.1", 0), backlog=10)
    caller = queued_call(port.getsockname()[1], "/once/1")
    server = await HttpServer.listen("", site.callers.handle, port)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(20):
        got = await loop.sock_recv(caller, 4096)
    assert got.startswith(b"HTTP/1.1 200")
    caller.close()
    await server.close()


async def test_a_call_closed_before_the_node_accepts_is_not_run(site) -> None:
    """Callers time out while all nodes start; their requests must not run later."""
    backend = await site.add_backend(answers)
    port = socket.create_server(("127.0.0.1", 0), backlog=100)
    for _ in range(20):
        queued_call(port.getsockname()[1], "/once/1").close()
    last = queued_call(port.getsockname()[1], "/once/2")
    server = await HttpServer.listen("", site.callers.handle, port)
    last.setblocking(False)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(20):
        assert (await loop.sock_recv(last, 4096)).startswith(b"HTTP/1.1 200")
    last.close()
    await server.close()
    assert [request.target for request in backend.seen] == ["/once/2"]
