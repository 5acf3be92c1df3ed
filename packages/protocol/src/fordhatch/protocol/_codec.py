"""Encoding of messages, with a message authentication code on every frame."""

from __future__ import annotations

import hashlib
import hmac
import zlib
from typing import Any

import attrs
import msgpack

from ._messages import MESSAGE_BY_TAG, TAG_BY_MESSAGE

MAC_BYTES = 16
"""Length of the authentication code."""

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame that a node accepts."""


COMPRESSED = b"\xc1"
"""First byte of a compressed body; no msgpack value begins with it."""

COMPRESS_FROM_BYTES = 2048
"""Shorter bodies are sent as they are: a table of backend servers shrinks to a tenth,
which counts on links of 10 Mbit/s, a single change hardly does."""

COMPRESS_LEVEL = 1
"""The quickest; higher levels save a few bytes in a hundred."""

_UNPACK_ERRORS = (zlib.error, msgpack.UnpackException, msgpack.exceptions.ExtraData)


class FrameError(Exception):
    """A frame was malformed, too long or not authenticated."""


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
    fields = attrs.astuple(message)  # type: ignore[arg-type]
    body = msgpack.packb([channel, TAG_BY_MESSAGE[type(message)], fields])
    if len(body) < COMPRESS_FROM_BYTES:
        return body
    return COMPRESSED + zlib.compress(body, COMPRESS_LEVEL)


def decode(body: bytes) -> tuple[int, Any]:
    """Return the channel and message of a frame's body.

    Raises:
        FrameError: If the body is not a well-formed message.
    """
    try:
        if body[:1] == COMPRESSED:
            body = _decompressed(body[1:])
        channel, tag, fields = msgpack.unpackb(body)
        return int(channel), MESSAGE_BY_TAG[tag](*fields)
    except (*_UNPACK_ERRORS, KeyError, TypeError, ValueError) as error:
        raise FrameError(repr(error)) from error


def _decompressed(data: bytes) -> bytes:
    """Return a compressed body, within the limit of a frame."""
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(data, MAX_FRAME_BYTES)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise FrameError("compressed frame too long or cut off")
    return body


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
