"""The life of a node on the users' platform: start, serve, reload, stop."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import uvloop

from fordhatch.adapter import SETTINGS_VARIABLE, DecodeError, decode_settings
from fordhatch.catalog import NodeSettings
from fordhatch.core import LineWriter, configure_line_log, log_event

from ._node import Node

EXIT_BAD_SETTINGS = 2
"""Exit status where the settings have mistakes."""

CLOSE_LIMIT_S = 0.4
"""How long the parts of a node may take to end; less than what is kept back of the
grace."""

STANDARD_OUTPUT = 1
"""File descriptor of the log."""


def run_on_platform() -> None:
    """Run a node with the settings file that the platform names."""
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
    writer = LineWriter(STANDARD_OUTPUT)
    writer.start()
    configure_line_log(settings.node_name, writer)
    uvloop.run(_run(settings, path, content))
    writer.flush()


async def _run(settings: NodeSettings, path: Path, content: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node.from_settings(settings)
    node.settings_text = content
    loop.add_signal_handler(signal.SIGHUP, lambda: node.reload(path))
    await node.start()
    watch = asyncio.ensure_future(node.watch_settings(path))
    await stop.wait()
    await node.leave()
    watch.cancel()
    try:
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await node.close()
    except TimeoutError:
        # Every request has its answer by now; the end must not wait for the rest.
        log_event("close_cut_short", limit_s=CLOSE_LIMIT_S)
    log_event("node_stopped")
