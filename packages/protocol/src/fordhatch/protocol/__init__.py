"""Messages between nodes and the authenticated msgpack streams that carry them."""

from __future__ import annotations

from . import messages
from ._codec import FrameError, decode, derive_key, encode
from ._link import Channel, Handler, Link, receive_from, to_failure, to_refused
from ._messages import VersionPair
from ._packed_rows import PackedRow, pack_rows, unpack_rows
from ._pool import PeerPool

__all__ = [
    "Channel",
    "FrameError",
    "Handler",
    "Link",
    "PackedRow",
    "PeerPool",
    "VersionPair",
    "decode",
    "derive_key",
    "encode",
    "messages",
    "pack_rows",
    "receive_from",
    "to_failure",
    "to_refused",
    "unpack_rows",
]
