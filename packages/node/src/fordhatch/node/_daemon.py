"""Life cycle of a node process on the users' platform: start, serve, reload, stop."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NoReturn

import uvloop

from fordhatch.adapter import SETTINGS_VARIABLE, DecodeError, decode_settings
from fordhatch.catalog import NodeSettings
from fordhatch.core import Timer, configure_line_log

from ._clients import Clients
from ._node import Node
from ._platform_edge import PlatformEdge
from ._process_end import ProcessEnd
from ._settings_watch import SettingsWatch
from ._stop_signal import StopSignal

EXIT_BAD_SETTINGS = 2
"""Exit status if the settings are invalid."""

LISTEN_AFTER_TERM_S = 3.2
"""How long a leaving node still accepts connections: the load balancer probes once a
second and removes a node after two failed probes."""

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
        settings.node_name,
        lambda end: _run(settings, path, content, callers_socket, end),
    )


def run_logged(
    node_name: str, run: Callable[[ProcessEnd], Awaitable[None]]
) -> NoReturn:
    """Run a node until it stops, with its log on standard output; ends the process.

    Args:
        node_name: Written into every log line.
        run: The coroutine function that runs the node; gets the end of its process.
    """
    end = ProcessEnd.from_descriptor(STANDARD_OUTPUT)
    configure_line_log(node_name, end.writer)

    async def run_and_exit() -> NoReturn:
        try:
            await run(end)
        except Exception as error:
            # The event loop would wait for all tasks before it ends.
            end.fail(error)
        end.exit()

    uvloop.run(run_and_exit())


async def _run(
    settings: NodeSettings,
    path: Path,
    content: str,
    callers_socket: socket.socket | None,
    end: ProcessEnd,
) -> None:
    timer = Timer.from_seed(settings.node_name)
    stop = StopSignal.listen(timer)
    clients = Clients.from_settings(settings, timer)
    node = Node.create(settings, timer, clients)
    end.observe(node.state.requests)
    edge = PlatformEdge.from_node(node)
    settings_watch = SettingsWatch(node, path, content)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, settings_watch.reload)
    await node.start()
    await edge.listen(callers_socket)
    watching = asyncio.ensure_future(settings_watch.run())
    since_s = await stop.wait()
    await node.leave(
        edge.callers_server,
        listen_for_s=LISTEN_AFTER_TERM_S,
        since_s=since_s,
        lateness_s=stop.lateness_s(),
        on_plan=lambda plan: end.limit(node.state, plan),
    )
    watching.cancel()
    await end.close(node.state, edge.close, node.close, stop.close)
