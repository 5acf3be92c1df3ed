"""What the system needs of model engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, Protocol, runtime_checkable

import attrs
from result import Result

from fordhatch.core import Failure


@attrs.frozen
class BackendStatus:
    """What a backend server reports of itself."""

    instance_id: str
    boot_id: str
    """Changes with every start of the backend server."""
    phase: str
    """``idle``, ``loading``, ``ready`` or ``failed``."""
    leaving: bool = False
    group_id: str = ""
    epoch: int = 0
    rank: int = -1
    model: str = ""
    version: str = ""
    weights: str = ""
    """``model/version/rank/size`` of the shard in memory, even while idle."""
    adapters: list[str] = attrs.field(factory=list)
    fencing_token: int = 0
    """Token of the last order that the engine took."""
    running: int = 0
    """Requests running, as last published (lagging)."""
    waiting: int = 0
    step_s: float = 0.0
    """Mean time of a decoding step over the last steps; 0 when unknown."""


@attrs.frozen
class Order:
    """An order to a model engine; ``fencing_token`` rises with every order."""

    order_id: str
    instance_id: str
    kind: str
    """``load`` to become a member of a group, ``release`` to leave it."""
    fencing_token: int
    group_id: str = ""
    epoch: int = 0
    rank: int = 0
    size: int = 0
    members: list[str] = attrs.field(factory=list)
    """Addresses of all members by rank."""
    model: str = ""
    version: str = ""
    adapters: list[str] = attrs.field(factory=list)
    shard_bytes: int = 0


@attrs.frozen
class Generate:
    """One attempt to generate an answer on a group."""

    request_id: str
    group_id: str
    epoch: int
    body: dict[str, Any]
    """The caller's chat completion request."""
    adapter: str
    priority: int
    resume_from: int = 0
    """Index of the first token wanted."""
    delivered: str = ""
    """Text of the tokens before it."""


@attrs.frozen
class Token:
    """One token of a stream, with the names that prove whose it is."""

    request_id: str
    group_id: str
    epoch: int
    index: int
    text: str


@attrs.frozen
class Finish:
    """The end mark of a stream."""

    request_id: str
    group_id: str
    epoch: int
    reason: str
    tokens: int
    cached_tokens: int = 0


@attrs.frozen
class PlainAnswer:
    """A plain service's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class CancelOutcome:
    """What an engine says to a cancel."""

    known: bool
    """Whether it had ever seen the request. If not, it now refuses it for good."""
    boot_id: str
    """The start of the engine that this holds for."""


@attrs.frozen
class CacheEvents:
    """Cache events after a sequence number; late, and with gaps."""

    first: int
    """Sequence number of the first event returned."""
    last: int
    stored: list[str] = attrs.field(factory=list)
    evicted: list[str] = attrs.field(factory=list)


@runtime_checkable
class EngineClient(Protocol):
    """Calls on backend servers; every failure says whether the call may have run."""

    async def status(self, address: str) -> Result[BackendStatus, Failure]:
        """Return what the backend server reports of itself."""
        ...

    async def order(self, address: str, order: Order) -> Result[BackendStatus, Failure]:
        """Give an order to an engine."""
        ...

    def generate(
        self, address: str, request: Generate
    ) -> AsyncIterator[Result[Token | Finish, Failure]]:
        """Stream an answer; a failure ends the stream."""
        ...

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Result[PlainAnswer, Failure]:
        """Call a plain service."""
        ...

    async def cancel(
        self, address: str, request_id: str
    ) -> Result[CancelOutcome, Failure]:
        """Stop a request's work, or refuse it for good if it has not arrived."""
        ...

    async def cache_events(
        self, address: str, after: int
    ) -> Result[CacheEvents, Failure]:
        """Return the prefix cache events after a sequence number."""
        ...
