"""Life cycle of a node process on the users' platform: start, serve, reload, stop."""

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
from ._stop_signal import StopSignal

EXIT_BAD_SETTINGS = 2
"""Exit status if the settings are invalid."""

LISTEN_AFTER_TERM_S = 3.2
"""How long a leaving node still accepts connections: the load balancer probes once a
second and removes a node after two failed probes."""

CLOSE_LIMIT_S = 0.4
"""Longest time in which the components of a node may close."""

STANDARD_OUTPUT = 1
"""File descriptor to which the log is written."""


def run_on_platform(callers_socket: socket.socket | None = None) -> None:
    """Run a node with the settings file that the platform names.

    Args:
        callers_socket: A socket that already listens at the callers' address.
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
    run_logged(
        settings.node_name, lambda: _run(settings, path, content, callers_socket)
    )


def run_logged(node_name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a node until it stops, with its log on standard output.

    Args:
        node_name: Written into every log line.
        run: The coroutine function that runs the node.
    """
    writer = LineWriter(STANDARD_OUTPUT)
    writer.start()
    configure_line_log(node_name, writer)
    try:
        uvloop.run(run())
    finally:
        writer.flush()


async def close_with_timeout(
    node: Node, *closing: Callable[[], Awaitable[None]]
) -> None:
    """Close the components of a node in order, within its grace period.

    Args:
        node: The node, which has left.
        closing: The functions that close the components.
    """
    limit_s = min(CLOSE_LIMIT_S, node.state.stop.close_limit_s(node.timer.now_s()))
    try:
        async with asyncio.timeout(limit_s):
            for close in closing:
                await close()
    except TimeoutError:
        # Every request is answered by now, so the process need not wait any longer.
        log_event("close_cut_short", limit_s=round(limit_s, 3))
    log_event("node_stopped")


async def _run(
    settings: NodeSettings,
    path: Path,
    content: str,
    callers_socket: socket.socket | None,
) -> None:
    timer = Timer.from_seed(settings.node_name)
    stop = StopSignal.listen(timer)
    clients = Clients.from_settings(settings, timer)
    node = Node.create(settings, timer, clients)
    edge = PlatformEdge.from_node(node)
    settings_watch = SettingsWatch(node, path, content)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, settings_watch.reload)
    await node.start()
    await edge.listen(callers_socket)
    watching = asyncio.ensure_future(settings_watch.run())
    since_s = await stop.wait()
    await node.leave(
        edge.stop_listening,
        listen_for_s=LISTEN_AFTER_TERM_S,
        since_s=since_s,
        lateness_s=stop.lateness_s(),
        has_unread=edge.has_unread,
    )
    watching.cancel()
    await close_with_timeout(node, edge.close, node.close, stop.close)
