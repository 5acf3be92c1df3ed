"""Chunks of a body, at any boundaries of what is received."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordhatch.adapter import InvalidAnswer
from fordhatch.adapter._chunk_reader import ChunkReader

BODY = b"0123456789" * 3
SOUND = {
    "one": b"1e\r\n" + BODY + b"\r\n0\r\n\r\n",
    "several": b"5\r\n01234\r\n19\r\n" + BODY[5:] + b"\r\n0\r\n\r\n",
    "upper case and zeros": b"001E\r\n" + BODY + b"\r\n000\r\n\r\n",
    "extensions": b'1e;a;b=c; d="e;f"\r\n' + BODY + b"\r\n0;x\r\n\r\n",
    "blanks behind the size": b"1e  \r\n" + BODY + b"\r\n0\t\r\n\r\n",
    "trailers": b"1e\r\n" + BODY + b"\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n",
}
MALFORMED = {
    "no size": b"\r\n" + BODY,
    "no digits": b"xyz\r\n" + BODY,
    "blank before the size": b" 1e\r\n" + BODY + b"\r\n0\r\n\r\n",
    "signed": b"+1e\r\n" + BODY + b"\r\n0\r\n\r\n",
    "prefixed": b"0x1e\r\n" + BODY + b"\r\n0\r\n\r\n",
    "too large": 16 * b"f" + b"\r\n" + BODY,
    "size too small": b"1d\r\n" + BODY + b"\r\n0\r\n\r\n",
    "size too large": b"1f\r\n" + BODY + b"\r\n0\r\n\r\n",
    "line feeds only": b"1e\n" + BODY + b"\n0\n\n",
    "line feed behind the data": b"1e\r\n" + BODY + b"\n0\r\n\r\n",
    "control byte in an extension": b"1e;\x01\r\n" + BODY + b"\r\n0\r\n\r\n",
    "carriage return in an extension": b"1e;\rx\r\n" + BODY + b"\r\n0\r\n\r\n",
    "malformed trailer": b"1e\r\n" + BODY + b"\r\n0\r\nX A: b\r\n\r\n",
    "too many trailers": b"1e\r\n"
    + BODY
    + b"\r\n0\r\n"
    + 200 * b"X-A: b\r\n"
    + b"\r\n",
}


def read(data: bytes, cuts: list[int]) -> tuple[bytes, bytes, bool]:
    """Return the body, what follows it, and whether it is complete."""
    reader = ChunkReader()
    places = [0, *sorted(cuts), len(data)]
    pairs = itertools.pairwise(places)
    parts = [reader.feed(data[a:b]) for a, b in pairs]
    framed = b"".join(part for part, _ in parts)
    extra = b"".join(part for _, part in parts)
    body = b""
    while framed:
        size, _, rest = framed.partition(b"\r\n")
        length = int(size, 16)
        body += rest[:length]
        assert rest[length : length + 2] == b"\r\n"
        framed = rest[length + 2 :]
    return body, extra, reader.is_complete


CUTS = st.lists(st.integers(0, 60), max_size=6)


@pytest.mark.parametrize("kind", SOUND)
@given(cuts=CUTS)
def test_a_sound_body_is_read_at_any_boundaries(kind: str, cuts: list[int]) -> None:
    data = SOUND[kind]
    found = read(data, [min(cut, len(data)) for cut in cuts])
    assert found == (BODY, b"", True)


@given(cuts=CUTS)
def test_what_follows_a_body_is_told_apart(cuts: list[int]) -> None:
    data = SOUND["one"] + b"more"
    found = read(data, [min(cut, len(data)) for cut in cuts])
    assert found == (BODY, b"more", True)


@pytest.mark.parametrize("kind", MALFORMED)
@given(cuts=CUTS)
def test_a_malformed_body_is_refused(kind: str, cuts: list[int]) -> None:
    data = MALFORMED[kind]
    with pytest.raises(InvalidAnswer):
        read(data, [min(cut, len(data)) for cut in cuts])


@pytest.mark.parametrize("kind", SOUND)
def test_a_body_that_is_cut_is_not_complete(kind: str) -> None:
    end = SOUND[kind].index(b"\r\n\r\n") + 3
    assert not read(SOUND[kind][:end], [])[2]
