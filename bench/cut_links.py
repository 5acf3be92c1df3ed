"""Runs a node whose links to backend servers can be cut while it runs.

A file holds the kind of cut, or nothing. It is read for each new connection to one of
the backend servers' ports, and many times a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import socket
import sys
import threading
import time
import weakref
from enum import StrEnum
from pathlib import Path
from typing import Any

import aiohttp.connector
import attrs

from fordhatch.daemon.main import app

_LIBC = ctypes.CDLL(None)

_UNSPECIFIED = bytes(16)
"""Address of the family AF_UNSPEC."""

POLL_INTERVAL_S = 0.05
"""Time between looks at the file, for open connections."""


class LinkCut(StrEnum):
    """How the links of a node to the backend servers are cut."""

    NONE = ""
    HANG = "hang"
    """New connections get no answer; open ones go on."""
    REFUSE = "refuse"
    """New connections are refused; open ones go on."""
    RESET = "reset"
    """New connections are refused; open ones are reset, as links that break are."""
    END = "end"
    """New connections are refused; open ones end as if the peer had closed them. Half
    of an answer without a length can't be told from a whole one then, if the link is
    back before the node asks."""


@attrs.define(eq=False, repr=False)
class CutLinks:
    """Fails the connections of this process to a range of ports."""

    control: Path
    first_port: int
    last_port: int
    _open: weakref.WeakSet[socket.socket] = attrs.field(factory=weakref.WeakSet)

    @property
    def kind(self) -> LinkCut:
        """The present kind of cut."""
        return LinkCut(self.control.read_text().strip())

    def install(self) -> None:
        """Replace the function with which the HTTP client opens its connections."""
        library = aiohttp.connector.aiohappyeyeballs
        original = library.start_connection

        async def start_connection(addr_infos: Any, **options: Any) -> socket.socket:
            if not self._concerns(addr_infos):
                return await original(addr_infos, **options)
            match self.kind:
                case LinkCut.HANG:
                    await asyncio.Event().wait()
                case LinkCut.REFUSE | LinkCut.RESET | LinkCut.END:
                    raise ConnectionRefusedError("the link is cut")
            opened = await original(addr_infos, **options)
            self._open.add(opened)
            return opened

        library.start_connection = start_connection
        threading.Thread(target=self._watch, daemon=True).start()

    def _concerns(self, addr_infos: Any) -> bool:
        return any(
            self.first_port <= info[4][1] <= self.last_port for info in addr_infos
        )

    def _watch(self) -> None:
        while True:
            end = _ENDS.get(self.kind)
            for connection in list(self._open) if end is not None else ():
                self._open.discard(connection)
                end(connection)
            time.sleep(POLL_INTERVAL_S)


def reset(connection: socket.socket) -> None:
    """Reset an open connection, in the kernels of both ends.

    Dissolving the association of a connected socket does that; a shutdown would look
    like an end by the peer.
    """
    if connection.fileno() >= 0:
        _LIBC.connect(connection.fileno(), _UNSPECIFIED, len(_UNSPECIFIED))


def end(connection: socket.socket) -> None:
    """End an open connection as if its peer had closed it."""
    # The connection may have ended meanwhile.
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


_ENDS = {LinkCut.RESET: reset, LinkCut.END: end}


def main() -> None:
    """Run a node; the arguments are the file, two ports and the node's own ones."""
    control, first_port, last_port, *arguments = sys.argv[1:]
    CutLinks(Path(control), int(first_port), int(last_port)).install()
    app(arguments)


if __name__ == "__main__":
    main()
