"""Frame errors and the frame length limit."""

from __future__ import annotations

import zlib

import msgpack

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Maximum length of a frame, and of decompressed rows."""

UNPACK_ERRORS = (zlib.error, msgpack.UnpackException, msgpack.exceptions.ExtraData)
"""Exceptions that unpacking raises on malformed bytes."""


class FrameError(Exception):
    """A frame is malformed, too long or not authenticated."""
