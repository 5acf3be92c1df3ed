"""What makes a frame unusable, and the limit of its length."""

from __future__ import annotations

import zlib

import msgpack

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame that a node accepts, and longest content of a compressed part."""

UNPACK_ERRORS = (zlib.error, msgpack.UnpackException, msgpack.exceptions.ExtraData)
"""What unpacking raises on bytes that are no message."""


class FrameError(Exception):
    """A frame was malformed, too long or not authenticated."""
