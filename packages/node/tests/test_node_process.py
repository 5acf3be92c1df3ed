"""Run a node as its own process against the stand-in store: start, serve, stop."""

from __future__ import annotations

import asyncio
import marshal
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web
from planning_site import BOUNDS
from serving_site import CALL_HEADERS, configuration

from fordhatch.adapter import (
    BACKENDS_TABLE,
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    READY_PATH,
    SETTINGS_VARIABLE,
    decode_settings,
)
from fordhatch.core import Timer
from fordhatch.node import Clients, Node, SettingsWatch
from fordhatch_standins import (
    ScriptedBackend,
    StoreModel,
    backend_entry,
    http_answer,
    store_handler,
)

ENTRY = Path(__file__).parents[3] / "deploy" / "entry.py"
START_LIMIT_S = 20.0
OWN_IP = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.1"
"""Nodes serve metrics at a fixed port: test runs side by side use other addresses."""


async def answer_slowly(request, writer) -> None:
    await asyncio.sleep(0.3)
    writer.write(http_answer(request, b"whole"))


def free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


async def start_store(model: StoreModel) -> tuple[asyncio.Server, int]:
    server = web.Server(store_handler(model))
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    return listener, listener.sockets[0].getsockname()[1]


async def start_node(path: Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(ENTRY),
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def wait_until_ready(session: aiohttp.ClientSession, port: int) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            try:
                url = f"http://{OWN_IP}:{port}{READY_PATH}"
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


async def test_node_starts_serves_and_stops_cleanly(tmp_path: Path) -> None:
    model = StoreModel()
    model.put(OPERATOR_TABLE, CONFIGURATION_KEY, configuration())
    backend = ScriptedBackend(answer_slowly)
    address = await backend.start()
    model.put(BACKENDS_TABLE, "i-1", backend_entry("app", address))
    listener, store_port = await start_store(model)
    front, ready, inner = free_ports(3)
    settings = (
        BOUNDS.replace('ip = "10.0.0.1"', f'ip = "{OWN_IP}"')
        .replace("10.0.0.1:1", f"{OWN_IP}:{front}")
        .replace("10.0.0.1:2", f"{OWN_IP}:{ready}")
        .replace("[1,2]", f"[{inner},{inner}]")
        .replace("10.0.0.9:1", f"127.0.0.1:{store_port}")
    )
    path = tmp_path / "node.toml"
    path.write_text(settings)
    node = await start_node(path)
    try:
        async with aiohttp.ClientSession() as session:
            await wait_until_ready(session, ready)
            url = f"http://{OWN_IP}:{front}/once/1"
            headers = {**CALL_HEADERS, "X-Attempt-Id": "r1"}
            response = asyncio.ensure_future(session.post(url, headers=headers))
            await asyncio.sleep(0.1)
            node.send_signal(signal.SIGTERM)
            async with await response as answer:
                assert (answer.status, await answer.read()) == (200, b"whole")
        async with asyncio.timeout(8):
            output, _ = await node.communicate()
    finally:
        if node.returncode is None:
            node.kill()
        listener.close()
        await backend.close()
    assert node.returncode == 0
    events = [line for line in output.decode().splitlines() if "event=" in line]
    for name in ("node_started", "request_done", "node_leaving", "node_stopped"):
        assert any(f"event={name} " in f"{line} " for line in events), name


CONNECT_AT_FIRST_IMPORT = """
import runpy, socket, sys
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("fordhatch."):
            socket.create_connection(("127.0.0.1", {port}), 5).close()
            print("heard before", name)
            sys.exit(0)
sys.meta_path.insert(0, Finder())
sys.path.insert(0, {folder!r})
runpy.run_path({entry!r}, run_name="__main__")
"""


async def test_callers_reach_the_port_before_any_library_is_loaded(
    tmp_path: Path,
) -> None:
    (front,) = free_ports(1)
    path = tmp_path / "node.toml"
    path.write_text(BOUNDS.replace("10.0.0.1:1", f"127.0.0.1:{front}"))
    code = CONNECT_AT_FIRST_IMPORT.format(
        port=front, entry=str(ENTRY), folder=str(ENTRY.parent)
    )
    node = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await node.communicate()
    assert node.returncode == 0
    assert b"heard before" in output


def compiled(cache: Path, *, reads: bool) -> list[str]:
    """Return what is compiled despite the cache, and the result of the evaluation."""
    code = (
        "import sys, pathlib, builtins; sys.path.insert(0, sys.argv[1])\n"
        "import compile_cache as c; c.CACHE = pathlib.Path(sys.argv[2])\n"
        "c._compile = lambda *a: print(a[1]) or builtins.__dict__['first'](*a)\n"
        "builtins.first = compile\n"
        + ("c.use()\n" if reads else "")
        + "print(eval(compile('6 * 7', 'sum', 'eval')))\n"
    )
    args = [sys.executable, "-c", code, str(ENTRY.parent), str(cache)]
    done = subprocess.run(args, capture_output=True, text=True, check=True)
    return done.stdout.split()


def test_generated_code_comes_from_the_cache_or_is_compiled(tmp_path: Path) -> None:
    cache = tmp_path / "generated-code"
    assert compiled(cache, reads=True) == ["42"]
    entry = {("6 * 7", "sum", "eval"): compile("6 * 7", "sum", "eval")}
    cache.write_bytes(marshal.dumps((sys.version, entry)))
    assert compiled(cache, reads=True) == ["42"]
    cache.write_bytes(marshal.dumps((sys.version, {})))
    assert compiled(cache, reads=True) == ["sum", "42"]


@pytest.mark.parametrize(
    "damaged",
    [
        b"",
        b"\x00" * 40,
        marshal.dumps(("another Python", {})),
        marshal.dumps((1, 2, 3)),
    ],
)
def test_damaged_cache_only_costs_time(tmp_path: Path, damaged: bytes) -> None:
    cache = tmp_path / "generated-code"
    cache.write_bytes(damaged)
    assert compiled(cache, reads=True) == ["42"]


async def test_invalid_settings_exit_and_report_every_mistake(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text('zone = 7\n[bounds]\nrevoke-ms = "long"\n')
    node = await start_node(path)
    _, errors = await node.communicate()
    assert node.returncode == 2
    assert b"code=502" in errors
    assert b"zone: expected text" in errors
    assert b"bounds.revoke-ms: expected a number" in errors


async def test_changed_settings_are_applied_and_invalid_ones_ignored(
    tmp_path: Path,
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(BOUNDS)
    settings, timer = decode_settings(BOUNDS), Timer.from_seed(1)
    node = Node.create(settings, timer, Clients.from_settings(settings, timer))
    watch = SettingsWatch(node, path, BOUNDS)
    path.write_text(BOUNDS.replace("revoke-ms = 5000", "revoke-ms = 4000"))
    watch.reload()
    assert node.state.bounds.revoke_s == 4.0
    path.write_text(BOUNDS.replace("revoke-ms = 5000", "revoke-ms = -1"))
    watch.reload()
    path.unlink()
    watch.reload()
    assert node.state.bounds.revoke_s == 4.0
    await node.close()
