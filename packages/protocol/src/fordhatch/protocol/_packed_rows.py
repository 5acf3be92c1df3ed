"""Serialization of table rows that nodes send to each other.

A node that reads the store on behalf of forty other nodes sends the same rows to each
of them. Packing and compressing the rows separately for each receiver made such a node
use four times the processor time of the other nodes, so rows are packed once and the
resulting bytes are forwarded unchanged.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgpack

from ._frame_error import MAX_FRAME_BYTES, UNPACK_ERRORS, FrameError

COMPRESSED_MARKER = b"\xc1"
"""First byte of compressed rows; no msgpack value starts with this byte."""

COMPRESSION_THRESHOLD_BYTES = 2048
"""Packed rows shorter than this are sent uncompressed.

Compression reduces a table of backend servers to a tenth, which matters on links of
10 Mbit/s; a single change hardly shrinks.
"""

COMPRESSION_LEVEL = 1
"""Fastest zlib level; higher levels save only a few percent more."""

NO_ROWS = b""
"""Serialized form of an empty list of rows."""

PackedRow = tuple[str, int, int, bytes, bool]
"""Row key, version (the store's generation and its counter), value, is removed."""

_ROW_TYPES = (str, int, int, bytes, bool)


def pack_rows(rows: Iterable[PackedRow]) -> bytes:
    """Serialize rows, compressed above ``COMPRESSION_THRESHOLD_BYTES``."""
    listed = list(rows)
    if not listed:
        return NO_ROWS
    packed = msgpack.packb(listed)
    if len(packed) < COMPRESSION_THRESHOLD_BYTES:
        return packed
    return COMPRESSED_MARKER + zlib.compress(packed, COMPRESSION_LEVEL)


def unpack_rows(data: bytes) -> list[PackedRow]:
    """Deserialize rows received from another node.

    Raises:
        FrameError: If the bytes are malformed.
    """
    if not data:
        return []
    try:
        if data[:1] == COMPRESSED_MARKER:
            data = _decompress(data[1:])
        rows = msgpack.unpackb(data)
    except (*UNPACK_ERRORS, TypeError, ValueError) as error:
        raise FrameError(repr(error)) from error
    if not isinstance(rows, list):
        raise FrameError("expected rows")
    for row in rows:
        if not isinstance(row, list) or tuple(map(type, row)) != _ROW_TYPES:
            raise FrameError("unexpected row")
    return [tuple(row) for row in rows]


def _decompress(data: bytes) -> bytes:
    """Decompress rows, up to ``MAX_FRAME_BYTES``."""
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(data, MAX_FRAME_BYTES)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise FrameError("compressed rows too long or cut off")
    return body
