"""How the soak's cut of links ends open connections."""

from __future__ import annotations

import socket

import cut_links
import pytest


def connected() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


# Guards against a cut that looks like an end by the peer: half of an answer without a
# length passed as a whole one in a soak, which no link that breaks can bring about.
def test_a_cut_link_resets_both_ends() -> None:
    near, far = connected()
    with near, far:
        far.sendall(b"half of an answer")
        cut_links.reset(near)
        with pytest.raises(ConnectionResetError):
            near.recv(100)
        with pytest.raises(ConnectionResetError):
            far.recv(100)


def test_an_ended_link_looks_closed_by_the_peer() -> None:
    near, far = connected()
    with near, far:
        cut_links.end(near)
        assert near.recv(100) == b""
