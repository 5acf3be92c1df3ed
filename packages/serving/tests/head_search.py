"""Search of heads: sound parts, one of which is broken somewhere."""

from __future__ import annotations

from enum import Enum

import attrs
from broken_answers import CHUNKED, SEAL, Parts
from head_cases import BODY, SOUND_FIELDS
from hypothesis import strategies as st
from raw_caller import Answer
from test_stream_calls import chunk

NOT_PASSED_ON = {b"connection", b"content-length", b"transfer-encoding", b"keep-alive"}
"""Fields of a connection, which are not those of the answer."""

FIRST_LINES = [b"HTTP/1.1 200 OK", b"HTTP/1.1 200 ", b"HTTP/1.1 200", b"HTTP/1.0 200 X"]


class Break(Enum):
    """What is done to a head."""

    NOTHING = "nothing"
    INSERT = "insert"
    DELETE = "delete"
    REPLACE = "replace"
    REPEAT_LINE = "repeat line"
    DROP_LINE = "drop line"
    BARE_LINE_FEED = "bare line feed"
    SPLIT_LINE = "split line"
    FOLD = "fold"


class Framing(Enum):
    """How the body of an answer is delimited."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@attrs.frozen
class BrokenHead:
    """A sound head and what is broken in it."""

    first: bytes
    fields: tuple[bytes, ...]
    framing: Framing
    kind: Break
    place: float
    """Where, as a fraction of the head."""
    byte: int

    def answer(self, request_id: str, body: bytes = BODY) -> bytes:
        """Return the answer to a request on the wire."""
        head, separator, sent = self._sound(request_id, body).partition(b"\r\n\r\n")
        return self._break(head) + separator + sent

    def _sound(self, request_id: str, body: bytes) -> bytes:
        match self.framing:
            case Framing.LENGTH:
                parts = Parts(self.first, self.fields)
            case Framing.CHUNKS:
                framed = chunk(body) + b"0\r\n\r\n"
                parts = Parts(self.first, self.fields, CHUNKED, framed)
            case Framing.CLOSE:
                parts = Parts(self.first, self.fields, (b"Connection: close",))
        return parts.encode(request_id, body)

    def _break(self, head: bytes) -> bytes:
        at = int(self.place * len(head))
        lines = head.split(b"\r\n")
        line = int(self.place * len(lines))
        byte = bytes([self.byte])
        match self.kind:
            case Break.NOTHING:
                return head
            case Break.INSERT:
                return head[:at] + byte + head[at:]
            case Break.DELETE:
                return head[:at] + head[at + 1 :]
            case Break.REPLACE:
                return head[:at] + byte + head[at + 1 :]
            case Break.REPEAT_LINE:
                lines.insert(line, lines[line])
            case Break.DROP_LINE:
                del lines[line]
            case Break.BARE_LINE_FEED:
                return (
                    b"\r\n".join(lines[: line + 1])
                    + b"\n"
                    + b"\r\n".join(lines[line + 1 :])
                )
            case Break.SPLIT_LINE:
                return head[:at] + b"\r\n" + head[at:]
            case Break.FOLD:
                return head[:at] + b"\r\n " + head[at:]
        return b"\r\n".join(lines)


HEADS = st.builds(
    BrokenHead,
    first=st.sampled_from(FIRST_LINES),
    fields=st.lists(
        st.sampled_from([line for line, _ in SOUND_FIELDS.values()]), max_size=3
    ).map(tuple),
    framing=st.sampled_from(Framing),
    kind=st.sampled_from(Break),
    place=st.floats(0.0, 1.0, exclude_max=True),
    byte=st.integers(0, 255),
)


def passed_on(sent: bytes) -> set[bytes]:
    """Return the lines of a head that a caller has to get, folded ones joined."""
    head = sent.partition(b"\r\n\r\n")[0].rpartition(b"HTTP/1.")[2]
    lines = head.split(b"\r\n")[1:]
    joined: list[bytes] = []
    for line in lines:
        if line[:1] in (b" ", b"\t") and joined:
            joined[-1] += b" " + line.strip(b" \t")
        else:
            joined.append(line)
    pairs = [line.partition(b":") for line in joined]
    names = {(name.lower(), value.strip(b" \t")) for name, _, value in pairs}
    return {name + b": " + v for name, v in names if name not in NOT_PASSED_ON}


def body_of(sent: bytes, body: bytes) -> bytes:
    """Return the body of an answer: what follows a head that delimits none."""
    head, _, rest = sent.partition(b"\r\n\r\n")
    names = [line.partition(b":")[0].lower() for line in head.split(b"\r\n")]
    is_delimited = b"content-length" in names or b"transfer-encoding" in names
    return body if is_delimited else rest


def is_unchanged(answer: Answer, sent: bytes, body: bytes = BODY) -> bool:
    """Return whether a caller got an answer whole, with everything in it."""
    received = set()
    for line in answer.head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b": ")
        received.add(name.lower() + b": " + value)
    has_fields = passed_on(sent) <= received
    is_whole = answer.is_whole and answer.body == body_of(sent, body)
    return is_whole and has_fields and SEAL in answer.headers
