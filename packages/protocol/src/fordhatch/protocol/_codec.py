"""Encoding of messages, with a message authentication code on every frame."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import attrs
import cattrs
import msgpack
from cattrs import UnstructureStrategy

from ._messages import MESSAGE_BY_TAG, TAG_BY_MESSAGE

MAC_BYTES = 16
"""Length of the authentication code."""

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame that a node accepts."""

MAX_DATAGRAM_BYTES = 1400
"""Longest datagram; below the usual path limit."""

_converter = cattrs.Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


class FrameError(Exception):
    """A frame was malformed, too long or not authenticated."""


def _require(kind: type) -> None:
    def structure(value: object, _: object) -> object:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise FrameError(f"expected {kind.__name__}")
        return value

    _converter.register_structure_hook(kind, structure)


for _kind in (int, float, str, bool, bytes):
    _require(_kind)


def derive_key(shared_key: bytes, *parts: bytes) -> bytes:
    """Return a key for one purpose or connection."""
    mac = hmac.new(shared_key, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, "big") + part)
    return mac.digest()


def encode(channel: int, message: object) -> bytes:
    """Return the body of a frame.

    Args:
        channel: Number of the channel within the connection.
        message: An instance of a registered message class.

    Returns:
        msgpack bytes of ``[channel, tag, fields]``.
    """
    fields = _converter.unstructure(message)
    return msgpack.packb([channel, TAG_BY_MESSAGE[type(message)], fields])


def decode(body: bytes) -> tuple[int, Any]:
    """Return the channel and message of a frame's body.

    Raises:
        FrameError: If the body is not a well-formed message.
    """
    try:
        channel, tag, fields = msgpack.unpackb(body)
        cls = MESSAGE_BY_TAG[tag]
        if len(fields) > len(attrs.fields(cls)):
            raise FrameError("too many fields")
        return int(channel), _converter.structure(fields, cls)
    except FrameError:
        raise
    except Exception as error:
        raise FrameError(repr(error)) from error


def seal(key: bytes, sequence: int, body: bytes) -> bytes:
    """Return the authentication code of a frame at its place in the stream."""
    mac = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    mac.update(sequence.to_bytes(8, "big"))
    mac.update(body)
    return mac.digest()


def verify(key: bytes, sequence: int, body: bytes, mac: bytes) -> None:
    """Check a frame's authentication code.

    Raises:
        FrameError: If the code is wrong.
    """
    if not hmac.compare_digest(seal(key, sequence, body), mac):
        raise FrameError("authentication failed")


def encode_datagram(key: bytes, message: object) -> bytes:
    """Return a sealed datagram."""
    body = encode(0, message)
    return seal(key, 0, body) + body


def decode_datagram(key: bytes, data: bytes) -> Any:
    """Return the message of a sealed datagram.

    Raises:
        FrameError: If it is malformed or not authenticated.
    """
    if not MAC_BYTES < len(data) <= MAX_DATAGRAM_BYTES * 4:
        raise FrameError("datagram length")
    verify(key, 0, data[MAC_BYTES:], data[:MAC_BYTES])
    return decode(data[MAC_BYTES:])[1]
