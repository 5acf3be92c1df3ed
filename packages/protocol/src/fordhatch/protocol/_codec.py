"""Encoding of messages, with a message authentication code on every frame."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import attrs
import msgpack

from ._frame_error import MAX_FRAME_BYTES, UNPACK_ERRORS, FrameError
from ._messages import MESSAGE_BY_TAG, TAG_BY_MESSAGE

__all__ = [
    "MAC_BYTES",
    "MAX_FRAME_BYTES",
    "FrameError",
    "decode",
    "derive_key",
    "encode",
    "seal",
    "verify",
]

MAC_BYTES = 16
"""Length of the authentication code."""


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
    return msgpack.packb([channel, TAG_BY_MESSAGE[type(message)], fields])


def decode(body: bytes) -> tuple[int, Any]:
    """Return the channel and message of a frame's body.

    Raises:
        FrameError: If the body is not a well-formed message.
    """
    try:
        channel, tag, fields = msgpack.unpackb(body)
        return int(channel), MESSAGE_BY_TAG[tag](*fields)
    except (*UNPACK_ERRORS, KeyError, TypeError, ValueError) as error:
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
