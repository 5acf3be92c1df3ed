"""The life of a node on the users' platform: start, serve, reload, stop."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

from fordhatch.adapter import SETTINGS_VARIABLE, DecodeError, decode_settings
from fordhatch.catalog import NodeSettings
from fordhatch.core import LineWriter, Timer, configure_line_log, log_event

from ._clients import Clients
from ._node import Node
from ._platform_edge import PlatformEdge
from ._settings_watch import SettingsWatch

EXIT_BAD_SETTINGS = 2
"""Exit status where the settings have mistakes."""

LISTEN_AFTER_TERM_S = 3.2
"""A leaving node still accepts connections for this long: the balancer asks once a
second and takes a node out after two misses."""

CLOSE_LIMIT_S = 0.4
"""How long the parts of a node may take to end; less than what is kept back of the
grace."""

STANDARD_OUTPUT = 1
"""File descriptor of the log."""


def run_on_platform(callers_port: socket.socket | None = None) -> None:
    """Run a node with the settings file that the platform names.

    Args:
        callers_port: A socket that listens at the callers' address already.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        content = path.read_text()
    except OSError as error:
        print(f"fordhatchd: code=500 {SETTINGS_VARIABLE}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        settings = decode_settings(content)
    except DecodeError as error:
        for mistake in error.mistakes:
            print(f"fordhatchd: code=502 {path}: {mistake}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    run_logged(settings.node_name, lambda: _run(settings, path, content, callers_port))


def run_logged(node_name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a node's life with its log on standard output.

    Args:
        node_name: Written into every line.
        run: The life of the node.
    """
    writer = LineWriter(STANDARD_OUTPUT)
    writer.start()
    configure_line_log(node_name, writer)
    uvloop.run(run())
    writer.flush()


def stop_event() -> asyncio.Event:
    """Return an event that the signals to stop set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def close_in_time(*closing: Callable[[], Awaitable[None]]) -> None:
    """Close the parts of a node one after the other, but not for long."""
    try:
        async with asyncio.timeout(CLOSE_LIMIT_S):
            for close in closing:
                await close()
    except TimeoutError:
        # Every request has its answer by now; the end must not wait for the rest.
        log_event("close_cut_short", limit_s=CLOSE_LIMIT_S)
    log_event("node_stopped")


async def _run(
    settings: NodeSettings,
    path: Path,
    content: str,
    callers_port: socket.socket | None,
) -> None:
    stop = stop_event()
    timer = Timer.from_seed(settings.node_name)
    clients = Clients.from_settings(settings, timer)
    node = Node.create(settings, timer, clients)
    edge = PlatformEdge.from_node(node)
    settings_watch = SettingsWatch(node, path, content)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, settings_watch.reload)
    await node.start()
    await edge.listen(callers_port)
    watching = asyncio.ensure_future(settings_watch.run())
    await stop.wait()
    await node.leave(edge.stop_listening, listen_for_s=LISTEN_AFTER_TERM_S)
    watching.cancel()
    await close_in_time(edge.close, node.close)
