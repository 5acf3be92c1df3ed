"""Rows of a table as they travel: packed once, and passed on as the bytes they are.

A node that reads for forty others sends all of them the same rows. Packing and
compressing these for each was what made such a node use four times the processor time
of the others.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgpack

from ._frame_error import MAX_FRAME_BYTES, UNPACK_ERRORS, FrameError

COMPRESSED = b"\xc1"
"""First byte of compressed rows; no msgpack value begins with it."""

COMPRESS_FROM_BYTES = 2048
"""Shorter rows are sent as they are: a table of backend servers shrinks to a tenth,
which counts on links of 10 Mbit/s, a single change hardly does."""

COMPRESS_LEVEL = 1
"""The quickest; higher levels save a few bytes in a hundred."""

NO_ROWS = b""
"""Stands for no rows at all."""

PackedRow = tuple[str, int, int, bytes, bool]
"""Key, the store's generation and number, value, and whether the row was removed."""

_ROW_TYPES = (str, int, int, bytes, bool)


def pack_rows(rows: Iterable[PackedRow]) -> bytes:
    """Return rows as bytes."""
    listed = list(rows)
    if not listed:
        return NO_ROWS
    packed = msgpack.packb(listed)
    if len(packed) < COMPRESS_FROM_BYTES:
        return packed
    return COMPRESSED + zlib.compress(packed, COMPRESS_LEVEL)


def unpack_rows(data: bytes) -> list[PackedRow]:
    """Return the rows in bytes that another node has sent.

    Raises:
        FrameError: If they are not well-formed.
    """
    if not data:
        return []
    try:
        if data[:1] == COMPRESSED:
            data = _decompressed(data[1:])
        rows = msgpack.unpackb(data)
    except (*UNPACK_ERRORS, TypeError, ValueError) as error:
        raise FrameError(repr(error)) from error
    if not isinstance(rows, list):
        raise FrameError("expected rows")
    for row in rows:
        if not isinstance(row, list) or tuple(map(type, row)) != _ROW_TYPES:
            raise FrameError("unexpected row")
    return [tuple(row) for row in rows]


def _decompressed(data: bytes) -> bytes:
    """Return compressed rows, within the limit of a frame."""
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(data, MAX_FRAME_BYTES)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise FrameError("compressed rows too long or cut off")
    return body
