"""Heads of answers to callers, with values as they were received.

A value may have bytes above ASCII that are no UTF-8 (RFC 9110, 5.5). The HTTP library
reads them as surrogates, and its writers drop those or refuse them.
"""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict

CRLF = b"\r\n"


class UnwritableHead(Exception):  # noqa: N818
    """The head of an answer can't be written; nothing of the answer has been sent."""


def take_undecoded(headers: CIMultiDict[str]) -> list[tuple[str, str]]:
    """Remove the fields with a value that is no UTF-8, all of the same name together.

    Returns:
        The fields that were removed, in order.
    """
    names = {name.lower() for name, value in headers.items() if _has_surrogate(value)}
    taken = [(name, value) for name, value in headers.items() if name.lower() in names]
    for name in names:
        del headers[name]
    return taken


def _has_surrogate(value: str) -> bool:
    if value.isascii():
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return True
    return False


def encode_fields(fields: list[tuple[str, str]]) -> bytes:
    """Return the lines of fields with the bytes that were received."""
    lines = (
        f"{name}: {value}".encode(errors="surrogateescape") for name, value in fields
    )
    return b"".join(line + CRLF for line in lines)


class ExactStream(web.StreamResponse):
    """An answer that is sent as it comes, with the values of fields as received."""

    async def _write_headers(self) -> None:
        undecoded = take_undecoded(self.headers)
        sends_now, self._send_headers_immediately = (
            self._send_headers_immediately,
            False,
        )
        await super()._write_headers()
        writer = self._payload_writer
        if undecoded:
            head = writer._headers_buf.removesuffix(CRLF)
            writer._headers_buf = head + encode_fields(undecoded) + CRLF
        if sends_now:
            writer.send_headers()


class ExactResponse(ExactStream, web.Response):
    """An answer of one piece, with the values of fields as received."""
