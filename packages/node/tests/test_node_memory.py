"""Memory of a node's process that serves callers with long bodies."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from pathlib import Path

import attrs
from lengthless_server import read_head
from serving_site import CALL_HEADERS
from stopping_node import StoppingNode, StoppingSite, long_configuration
from test_endless_answers import peak_bytes

from fordhatch.adapter import (
    BACKENDS_TABLE,
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
)
from fordhatch_standins import entry_fields

BODY_BYTES = 4 * 1024 * 1024
"""The longest body that the configuration allows."""

ANSWER_BYTES = 9_000_000
"""Longer than an answer that a node holds."""

BOUND_BYTES = 150e6
"""Most memory that a node may have used: half of that of the users' machines."""

FULL_BYTES = 210e6
"""The same while requests for more than the node's room have come: a third of it for
others, above a node without any."""

CALLERS = 44
WAVE = 4
"""Callers whose bodies are sent at once."""

PACE_S = 0.05
"""Time between two reads of a slow caller."""

WAIT_S = 60.0
"""After this time something counts as never happening."""

READ_BYTES = 64 * 1024
REFUSED = 503

Script = Callable[[str, asyncio.StreamWriter], object]


@attrs.define(eq=False, repr=False)
class LongBackend:
    """A backend server that reads bodies to their end, and answers with many bytes."""

    answer_bytes: int
    may_answer: asyncio.Event = attrs.field(factory=asyncio.Event)
    running: int = 0
    """Requests whose bodies it has read and that it has not answered."""
    ran: int = 0

    async def start(self, site: StoppingSite) -> None:
        """Listen and register."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", limit=2**23)
        host, port = server.sockets[0].getsockname()
        entry = entry_fields("app", f"{host}:{port}")
        site.model.put(BACKENDS_TABLE, "i-1", json.dumps(entry).encode())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _, headers = await read_head(reader)
        attempt = headers.get("x-attempt-id")
        if attempt is None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            writer.close()
            return
        self.ran += 1
        self.running += 1
        await self.may_answer.wait()
        self.running -= 1
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\n"
            f"Content-Length: {self.answer_bytes}\r\n\r\n".encode()
        )
        piece = bytes(READ_BYTES)
        left = self.answer_bytes
        while left:
            writer.write(piece[:left])
            left -= min(left, len(piece))
            await writer.drain()
        writer.close()


@attrs.define(eq=False, repr=False)
class LongCaller:
    """A caller on a kept connection, which sends long bodies and may read slowly."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    status: int = 0
    read_bytes: int = 0
    length: int = -1
    is_chunked: bool = False

    @classmethod
    async def connect(cls, node: StoppingNode) -> LongCaller:
        """Open a connection."""
        host, _, port = node.address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=READ_BYTES))

    async def ask(self, request_id: str, body: bytes) -> None:
        """Send a request and read the head of its answer."""
        fields = {**CALL_HEADERS, "X-Attempt-Id": request_id}
        fields |= {"X-Deadline-Ms": "120000", "Content-Length": str(len(body))}
        lines = ["POST /long/1 HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        self.writer.write(body)
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        first, *rest = head.strip().split("\r\n")
        self.status = int(first.split()[1])
        headers = dict(line.split(": ", 1) for line in rest)
        self.is_chunked = "transfer-encoding" in headers
        self.length = int(headers.get("content-length", -1))
        self.read_bytes = 0

    async def read(self, until: asyncio.Event) -> int:
        """Read the answer, slowly until an event; returns the bytes of its body."""
        while True:
            if not until.is_set():
                await asyncio.sleep(PACE_S)
            if self.is_chunked:
                size = int(await self.reader.readline(), 16)
                await self.reader.readexactly(size + 2)
                if not size:
                    return self.read_bytes
                self.read_bytes += size
                continue
            if self.read_bytes == self.length:
                return self.read_bytes
            piece = await self.reader.read(self.length - self.read_bytes)
            assert piece, "the connection ended within the answer"
            self.read_bytes += len(piece)


def run(tmp_path: Path, answer_bytes: int, play: Callable) -> None:
    """Play a scenario at one node before one backend server."""

    async def scenario() -> None:
        async with asyncio.timeout(WAIT_S), StoppingSite.start(tmp_path) as site:
            limits = {"limits": {"max-body-bytes": BODY_BYTES}}
            changed = long_configuration(**limits)
            site.model.put(OPERATOR_TABLE, CONFIGURATION_KEY, changed)
            backend = LongBackend(answer_bytes)
            await backend.start(site)
            node = await site.add_node()
            callers = [await LongCaller.connect(node) for _ in range(CALLERS)]
            try:
                await until_served(callers[0], backend)
                await play(node, backend, callers)
            finally:
                for caller in callers:
                    caller.writer.close()

    asyncio.run(scenario())


async def until_served(caller: LongCaller, backend: LongBackend) -> None:
    """Wait until the node knows the backend server."""
    backend.may_answer.set()
    while True:
        await caller.ask("first", b"")
        await caller.read(backend.may_answer)
        if caller.status == 200:
            break
        await asyncio.sleep(0.05)
    backend.may_answer.clear()
    backend.ran = 0


# Guards against bodies of requests that have ended and stay in memory: a node that
# takes over the callers of others exceeded its memory (LOST).
def test_bodies_of_ended_requests_do_not_add_up(tmp_path: Path) -> None:
    async def play(node, backend, callers) -> None:
        backend.may_answer.set()
        body = os.urandom(BODY_BYTES)

        async def go_on(number: int, caller: LongCaller) -> None:
            for turn in range(10):
                await caller.ask(f"r{number}-{turn}", body)
                assert await caller.read(backend.may_answer) == 800

        await asyncio.gather(*(go_on(n, c) for n, c in enumerate(callers[:12])))
        print(f"peak {peak_bytes(node.process) / 1e6:.0f} MB")
        assert peak_bytes(node.process) < BOUND_BYTES

    run(tmp_path, 800, play)


# Guards against bodies that are kept, and answers that are held whole, while slow
# callers read: bounds that hold for each kind alone add up to more than a node has.
def test_slow_callers_of_long_answers_do_not_fill_a_node(tmp_path: Path) -> None:
    async def play(node, backend, callers) -> None:
        backend.may_answer.set()
        body = os.urandom(BODY_BYTES)
        have_all_begun = asyncio.Event()
        reading = []
        for begin in range(0, CALLERS, WAVE):
            wave = callers[begin : begin + WAVE]
            asking = [c.ask(f"r{begin + n}", body) for n, c in enumerate(wave)]
            await asyncio.gather(*asking)
            reading += [asyncio.create_task(c.read(have_all_begun)) for c in wave]
        have_all_begun.set()
        read = await asyncio.gather(*reading)
        assert [c.status for c in callers] == [200] * CALLERS
        assert read == [ANSWER_BYTES] * CALLERS
        print(f"peak {peak_bytes(node.process) / 1e6:.0f} MB")
        assert peak_bytes(node.process) < BOUND_BYTES

    run(tmp_path, ANSWER_BYTES, play)


# Guards against a node that takes on more than it has room for: what is beyond is
# refused at once as not run, and what has begun is answered.
def test_requests_beyond_the_room_of_a_node_are_refused_at_once(tmp_path: Path) -> None:
    async def play(node, backend, callers) -> None:
        body = os.urandom(BODY_BYTES)
        asking = [
            asyncio.create_task(caller.ask(f"r{number}", body))
            for number, caller in enumerate(callers)
        ]
        while sum(task.done() for task in asking) + backend.running < CALLERS:
            await asyncio.sleep(0.02)
        refused = [caller for caller in callers if caller.status == REFUSED]
        begun = backend.running
        backend.may_answer.set()
        await asyncio.gather(*asking)
        answered = [caller for caller in callers if caller.status == 200]
        for caller in answered:
            assert await caller.read(backend.may_answer) == 800
        assert len(answered) == begun == backend.ran
        assert len(refused) == CALLERS - begun
        print(f"{begun} begun, peak {peak_bytes(node.process) / 1e6:.0f} MB")
        assert begun * BODY_BYTES > 75e6
        assert peak_bytes(node.process) < FULL_BYTES

    run(tmp_path, 800, play)
