"""Messages between fordhatch nodes and the msgpack streams that carry them."""

from __future__ import annotations

from . import messages
from ._codec import (
    MAX_DATAGRAM_BYTES,
    FrameError,
    decode,
    decode_datagram,
    derive_key,
    encode,
    encode_datagram,
)
from ._link import Channel, Handler, Link, receive_from, to_failure, to_refused
from ._pool import PeerPool

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "Channel",
    "FrameError",
    "Handler",
    "Link",
    "PeerPool",
    "decode",
    "decode_datagram",
    "derive_key",
    "encode",
    "encode_datagram",
    "messages",
    "receive_from",
    "to_failure",
    "to_refused",
]
