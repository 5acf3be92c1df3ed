"""Typed messages between nodes; each class has a number that never changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import attrs

PROTOCOL_VERSION = 1
"""Raised when a message changes in a way that older nodes cannot read."""

MESSAGE_BY_TAG: dict[int, type] = {}
"""Message class by number."""

TAG_BY_MESSAGE: dict[type, int] = {}
"""Number by message class."""

C = TypeVar("C", bound=type)


def message(tag: int) -> Callable[[C], C]:
    """Register a message class under its number."""

    def register(cls: C) -> C:
        assert tag not in MESSAGE_BY_TAG, f"tag {tag} is taken"
        MESSAGE_BY_TAG[tag] = cls
        TAG_BY_MESSAGE[cls] = tag
        return cls

    return register


@message(1)
@attrs.frozen
class Hello:
    """First frame of each side: who speaks, which version, and a nonce."""

    version: int
    node_id: str
    nonce: bytes


@message(2)
@attrs.frozen
class Proof:
    """Proves knowledge of the shared key for both nonces."""

    mac: bytes


@message(3)
@attrs.frozen
class Close:
    """Ends a channel; on a request in progress it cancels the work."""


@message(4)
@attrs.frozen
class Refused:
    """A request failed; mirrors ``fordhatch.core.Failure``."""

    code: int
    text: str
    ran: str
    retry_after_s: float | None = None


@message(5)
@attrs.frozen
class Accepted:
    """A request without an answer of its own was taken."""


@message(10)
@attrs.frozen
class NodeRecord:
    """What a node says of itself; a higher incarnation replaces a lower one."""

    node_id: str
    address: str
    region: str
    zone: str
    incarnation: int
    state: str
    """``alive``, ``suspect``, ``leaving`` or ``dead``."""
    started: int = 0
    """Changes with every start of the node's process."""


@message(11)
@attrs.frozen
class VersionDigest:
    """The newest versions a node holds; whoever is behind pulls."""

    config_revision: int = 0
    group_generations: dict[str, int] = attrs.field(factory=dict)
    """Generation of the group rows by region."""
    planners: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    """Fencing token and node of the planner by region."""


@message(12)
@attrs.frozen
class Ping:
    """Failure detection probe, with membership news and versions."""

    sequence: int
    sender: NodeRecord
    digest: VersionDigest
    news: list[NodeRecord]


@message(13)
@attrs.frozen
class Ack:
    """Answer to a ping."""

    sequence: int
    sender: NodeRecord
    digest: VersionDigest
    news: list[NodeRecord]


@message(14)
@attrs.frozen
class PingRequest:
    """Asks a third node to ping ``target`` and pass its answer back."""

    sequence: int
    sender: NodeRecord
    target: str


@message(20)
@attrs.frozen
class PullConfig:
    """Asks for the configuration in force if newer than ``after_revision``."""

    after_revision: int


@message(21)
@attrs.frozen
class ConfigReply:
    """The configuration in force; empty content when there is nothing newer."""

    revision: int
    digest: str
    content: bytes


@message(22)
@attrs.frozen
class PullGroups:
    """Asks for the group rows of a region if newer than ``after_generation``."""

    region: str
    after_generation: int


@message(23)
@attrs.frozen
class GroupsReply:
    """Group rows changed after the generation that was named."""

    region: str
    generation: int
    rows: list[dict[str, Any]]
    present: list[str]
    """Every group that is not dissolved: what is not named here is gone."""


@message(24)
@attrs.frozen
class GroupReport:
    """A watcher tells the planner what it sees of one group."""

    group_id: str
    epoch: int
    watcher: str
    permitted: bool
    """Whether the watcher holds a permit for the group."""
    unfit_members: dict[str, str]
    """Probe state of every member that is not ready, by instance."""
    in_flight: int = 0
    """Requests that the watcher has running on the group."""


@message(30)
@attrs.frozen
class Dispatch:
    """A caller's request, forwarded to a home node of the chosen group."""

    request_id: str
    group_id: str
    epoch: int
    workspace: str
    weight: float
    """Share of the workspace in fair queueing."""
    priority: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    streamed: bool
    """Whether a token stream is wanted from a model engine."""
    timeout_s: float
    """Time left until the caller's deadline."""
    resume_from: int
    """Number of tokens that were already delivered."""
    delivered: str
    """Text of those tokens."""
    repeatable: bool
    idempotency_key: str
    request_digest: str
    adapter: str = ""


@message(31)
@attrs.frozen
class Piece:
    """One token of an answer."""

    index: int
    text: str


@message(32)
@attrs.frozen
class Finished:
    """The finish mark of a streamed answer, with its total length in tokens."""

    reason: str
    tokens: int
    cached_tokens: int


@message(33)
@attrs.frozen
class Answer:
    """A whole answer of a plain service, or a stored one."""

    status: int
    headers: dict[str, str]
    body: bytes
    replayed: bool = False


@message(34)
@attrs.frozen
class LoadHint:
    """Work at a group as its home node knows it."""

    group_id: str
    in_flight: int
    queued: int
    capacity: int
    mean_service_s: float
    """Mean time that a request runs on the group; 0 when unknown."""


@message(40)
@attrs.frozen
class CommitClaims:
    """Asks a claim owner to write claim rows in its next batch."""

    rows: list[dict[str, Any]]
    """Each with ``key``, ``attempt_id`` and ``value``, as in a claim write."""


@message(41)
@attrs.frozen
class ClaimsCommitted:
    """Outcome for each claim row, in order: ``written``, ``conflict``, ``unknown``."""

    outcomes: list[str]
    rows: list[dict[str, Any] | None]
    """The row in the way, for conflicts."""


@message(50)
@attrs.frozen
class QueryStatus:
    """Asks a node for what it has in force."""


@message(51)
@attrs.frozen
class StatusReply:
    """What a node has in force."""

    node_id: str
    config_revision: int
    planner_region: str
    permits: list[str]
    ready: bool


@message(60)
@attrs.frozen
class WatchTable:
    """Asks a node for changes of a table of the store that it follows."""

    table: str
    after_version: int
    """Changes after this version; -1 asks for the whole table."""
    wait_s: float
    """How long the answer may wait for a change."""


@message(61)
@attrs.frozen
class TableChanges:
    """Rows of a table that changed, or all of them."""

    version: int
    """Up to this version nothing else changed."""
    age_s: float
    """How long ago, at the sending of this, the store was asked that confirmed it."""
    is_whole: bool
    """Whether these are all rows and not only those that changed."""
    rows: list[tuple[str, int, bytes, bool]]
    """Key, version, value, and whether the row was removed."""


for _cls in MESSAGE_BY_TAG.values():
    # The codec needs the classes themselves, not their names in annotations.
    attrs.resolve_types(_cls)
