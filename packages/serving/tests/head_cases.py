"""Heads of answers with one broken part, and odd heads that are sound."""

from __future__ import annotations

import attrs
from broken_answers import Parts

BODY = b"whole body"

FOLDED = b"\r\n " + 999 * b"x"
"""A line that continues a field."""

FIRST_LINES = {
    "status 000": b"HTTP/1.1 000 Nothing",
    "status 099": b"HTTP/1.1 099 X",
    "status 101": b"HTTP/1.1 101 Switching Protocols",
    "status 600": b"HTTP/1.1 600 X",
    "status 999": b"HTTP/1.1 999 X",
    "two digits": b"HTTP/1.1 20 OK",
    "four digits": b"HTTP/1.1 2000 OK",
    "signed": b"HTTP/1.1 +20 OK",
    "other digits": b"HTTP/1.1 \xb2\xb2\xb2 OK",
    "version 2": b"HTTP/2.0 200 OK",
    "version 0": b"HTTP/0.9 200 OK",
    "version 1.2": b"HTTP/1.2 200 OK",
    "lower case": b"http/1.1 200 OK",
    "other protocol": b"ICY 200 OK",
    "no blank": b"HTTP/1.1 200OK",
    "two blanks": b"HTTP/1.1  200 OK",
    "tab": b"HTTP/1.1\t200 OK",
    "blank first": b" HTTP/1.1 200 OK",
    "empty line first": b"\r\nHTTP/1.1 200 OK",
    "control in the reason": b"HTTP/1.1 200 O\x01K",
    "carriage return in the reason": b"HTTP/1.1 200 O\rK",
    "bytes": b"\x00\x01\xff\xfe",
}
BROKEN = {kind: Parts(first=line) for kind, line in FIRST_LINES.items()}
BROKEN["line feeds only"] = Parts(line_end=b"\n")

FIELDS = {
    "blank in a name": b"X Field: x",
    "blank behind a name": b"X-Field : x",
    "tab behind a name": b"X-Field\t: x",
    "blank before the first name": b" X-Field: x",
    "control byte in a name": b"X\x01Field: x",
    "zero in a name": b"X\x00Field: x",
    "delete in a name": b"X\x7fField: x",
    "byte above ASCII in a name": b"X-F\xe9ld: x",
    "separator in a name": b"X(Field): x",
    "no name": b": x",
    "no colon": b"X-Field",
    "control byte in a value": b"X-Field: a\x01b",
    "escape in a value": b"X-Field: a\x1bb",
    "zero in a value": b"X-Field: a\x00b",
    "delete in a value": b"X-Field: a\x7fb",
    "carriage return in a value": b"X-Field: a\rb",
    "line feed in a value": b"X-Field: a\nX-Other: b",
    "control byte in a folded line": b"X-Field: a\r\n \x02b",
    "blank in the name of the length": b"Content Length: 3",
}
BROKEN |= {kind: Parts(fields=(line,)) for kind, line in FIELDS.items()}
# A field before the first one: it can't continue another.
BROKEN["blank before the first name"] = Parts(first=b"HTTP/1.1 200 OK\r\n X-Field: x")

SIZE = len(BODY)
IN_CHUNKS = b"a\r\nwhole body\r\n0\r\n\r\n"
LENGTHS = {
    "two lengths": (b"Content-Length: 10", b"Content-Length: 5"),
    "the length twice": (b"Content-Length: 10", b"content-length: 10"),
    "a list of lengths": (b"Content-Length: 10, 10",),
    "signed length": (b"Content-Length: +10",),
    "negative length": (b"Content-Length: -10",),
    "hexadecimal length": (b"Content-Length: 0xa",),
    "no digits": (b"Content-Length:",),
    "digits apart": (b"Content-Length: 1 0",),
    "folded digits": (b"Content-Length: 1\r\n 0",),
    "other digits of a length": ("Content-Length: \u0661".encode(),),
    "more than can be counted": (b"Content-Length: " + b"9" * 23,),
    "shorter than the body": (b"Content-Length: 5",),
    "length and chunks": (b"Content-Length: 10", b"Transfer-Encoding: chunked"),
}
CODINGS = {
    "two codings": (b"Transfer-Encoding: gzip, chunked",),
    "chunked twice": (b"Transfer-Encoding: chunked, chunked",),
    "two fields of codings": (b"Transfer-Encoding: chunked",) * 2,
    "unknown coding": (b"Transfer-Encoding: xchunked",),
    "chunked is not last": (b"Transfer-Encoding: chunked, identity",),
    "no coding": (b"Transfer-Encoding: identity",),
    "coding with a parameter": (b"Transfer-Encoding: chunked;q=1",),
    "empty coding": (b"Transfer-Encoding:",),
}
BROKEN |= {kind: Parts(framing=lines) for kind, lines in LENGTHS.items()}
BROKEN |= {k: Parts(framing=x, sent_body=IN_CHUNKS) for k, x in CODINGS.items()}
CHUNKS = {"framing": (b"Transfer-Encoding: chunked",), "sent_body": IN_CHUNKS}
BROKEN |= {
    "chunks of an earlier version": Parts(first=b"HTTP/1.0 200 OK", **CHUNKS),
    "body of no content": Parts(first=b"HTTP/1.1 204 X"),
    "chunks of no content": Parts(first=b"HTTP/1.1 204 X", **CHUNKS),
    "body of not modified": Parts(first=b"HTTP/1.1 304 X"),
    "length of an interim answer": Parts(
        first=b"HTTP/1.1 103 X\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK"
    ),
    "two ids": Parts(fields=(b"X-Attempt-Id: other",)),
    "two signatures": Parts(fields=(b"X-Server-Seal: other",)),
    "line that is too long": Parts(fields=(b"X-Field: " + 33000 * b"x",)),
    "folded line that is too long": Parts(fields=(b"X-Field: x" + 99 * FOLDED,)),
    "too many fields": Parts(fields=126 * (b"X-Field: x",)),
}

CHUNKS_THAT_ARE_NONE = {
    "blank before a size": b" a\r\nwhole body\r\n0\r\n\r\n",
    "bare line feeds": b"a\nwhole body\n0\n\n",
    "control byte in an extension": b"a;\x01\r\nwhole body\r\n0\r\n\r\n",
    "no line end behind a chunk": b"a\r\nwhole body0\r\n\r\n",
    "malformed trailer": b"a\r\nwhole body\r\n0\r\nX Y: z\r\n\r\n",
    "bytes behind the last chunk": IN_CHUNKS + b"more",
}
BROKEN |= {
    kind: Parts(framing=CHUNKS["framing"], sent_body=body)
    for kind, body in CHUNKS_THAT_ARE_NONE.items()
}

SOUND_FRAMINGS = {
    "chunks": Parts(**CHUNKS),
    "chunks in another case": Parts(
        framing=(b"transfer-encoding: CHUNKED",), sent_body=IN_CHUNKS
    ),
    "chunks with extensions": Parts(
        framing=CHUNKS["framing"], sent_body=b"a;x=y\r\nwhole body\r\n0\r\nX: y\r\n\r\n"
    ),
    "length with zeros": Parts(framing=(b"Content-Length: 0010",)),
    "long line": Parts(fields=(b"X-Field: " + 32000 * b"x",)),
    "many fields": Parts(fields=125 * (b"X-Field: x",)),
    "another answer behind it": Parts(
        sent_body=BODY + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    ),
    "connection closes": Parts(fields=(b"Connection: close",)),
}
EMPTY = {
    "no content": Parts(first=b"HTTP/1.1 204 X", framing=(), sent_body=b""),
    "no content with a length": Parts(
        first=b"HTTP/1.1 204 X", framing=(b"Content-Length: 0",), sent_body=b""
    ),
    "not modified": Parts(first=b"HTTP/1.1 304 X", sent_body=b""),
    "empty": Parts(framing=(b"Content-Length: 0",), sent_body=b""),
}

SOUND_FIELDS = {
    "odd name": (b"!#$%&'*+-.^_`|~09aZ: x", ("!#$%&'*+-.^_`|~09az", "x")),
    "empty value": (b"X-Field:", ("x-field", "")),
    "no blank": (b"X-Field:x", ("x-field", "x")),
    "many blanks": (b"X-Field: \t x \t ", ("x-field", "x")),
    "tab in a value": (b"X-Field: a\tb", ("x-field", "a\tb")),
    "bytes above ASCII": (
        b"X-Field: caf\xe9 \xff\x80",
        ("x-field", "caf\xe9 \xff\x80"),
    ),
    "UTF-8": ("X-Field: caf\xe9".encode(), ("x-field", "caf\xc3\xa9")),
    "folded": (b"X-Field: a\r\n  b\r\n\tc", ("x-field", "a b c")),
    "colons": (b"X-Field: a:b: c", ("x-field", "a:b: c")),
    "quoted": (b'X-Field: "a, \\"b"', ("x-field", 'a, \\"b'.join('""'))),
}

SOUND_FIRST_LINES = {
    "usual": b"HTTP/1.1 200 OK",
    "no reason": b"HTTP/1.1 200 ",
    "no blank after the status": b"HTTP/1.1 200",
    "earlier version": b"HTTP/1.0 200 OK",
    "odd reason": b"HTTP/1.1 200 \t caf\xe9 ",
    "other success": b"HTTP/1.1 299 X",
    "refused by the backend server": b"HTTP/1.1 422 X",
    "after an interim answer": b"HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK",
}
SOUND = {kind: Parts(first=line) for kind, line in SOUND_FIRST_LINES.items()}

NOT_RUN = {
    kind: attrs.evolve(parts, fields=(*parts.fields, b"X-Not-Executed: 1"))
    for kind, parts in BROKEN.items()
}
"""The same heads, which say that the request has not run."""
