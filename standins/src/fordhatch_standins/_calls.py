"""Requests as received by a backend server, and their failures."""

from __future__ import annotations

import asyncio
import hashlib
import json

import attrs


@attrs.frozen
class BackendCall:
    """One request to one backend server."""

    request_id: str
    backend_id: str
    """The only backend server that may run the request."""
    method: str
    target: str
    body: bytes
    left_s: float
    """Remaining time, after which the backend server stops its work."""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    urgency: int = 5
    last_event: int = -1
    """Index of the event after which a stream resumes; -1 for a new stream."""
    shared_parts: tuple[str, ...] = ()
    """Parts of the prompt that other requests may have as well."""

    @property
    def digest(self) -> str:
        """Digest of the content, equal for all attempts of the caller."""
        return hashlib.sha256(self.body).hexdigest()


class NotExecuted(Exception):  # noqa: N818
    """The backend server reports that it has not run the request."""

    def __init__(self, status: int, at_fault: str = "") -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.at_fault = at_fault


class CutOff(ConnectionError):  # noqa: N818
    """The connection closes before the answer is complete."""

    def __init__(self, *, is_crash: bool = False) -> None:
        super().__init__("cut off")
        self.is_crash = is_crash
        """Whether the process has ended, not only its work on the request."""


def answer_text(body: bytes, index: int) -> str:
    """Return one part of the only correct answer to a request's body."""
    try:
        content = json.loads(body)["messages"][-1]["content"]
    except (ValueError, KeyError, TypeError, IndexError):
        content = body.decode("latin-1")
    prefix = hashlib.sha256(content.encode()).hexdigest()[:4]
    return f" {prefix}{index}"


def event_bytes(body: bytes, index: int) -> bytes:
    """Return one event of the only correct answer to a request's body."""
    data = json.dumps({"text": answer_text(body, index)})
    return f"id: {index}\ndata: {data}\n\n".encode()


@attrs.define(eq=False, repr=False)
class SlotQueue:
    """Queue for slots, ordered by urgency (lowest class first) and then by age."""

    _waiters: list[tuple[int, int, asyncio.Future[None]]] = attrs.field(factory=list)
    _count: int = 0

    def __len__(self) -> int:
        return len(self._waiters)

    async def wait(self, urgency: int) -> None:
        """Wait until a slot is available for this request."""
        self._count += 1
        turn = asyncio.get_running_loop().create_future()
        entry = (urgency, self._count, turn)
        self._waiters.append(entry)
        try:
            await turn
        finally:
            if entry in self._waiters:
                self._waiters.remove(entry)

    def wake_first(self) -> None:
        """Wake the first request."""
        if not self._waiters:
            return
        first = min(self._waiters, key=lambda w: w[:2])
        self._waiters.remove(first)
        if not first[2].done():
            first[2].set_result(None)

    def wake_all(self) -> None:
        """Wake all requests, which then fail because nothing serves any more."""
        while self._waiters:
            self.wake_first()
