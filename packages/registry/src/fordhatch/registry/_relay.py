"""Relay of the store's tables from node to node.

Few nodes query the store; the other nodes query these, for all tables at once. Any node
can query the store itself, and does so when the nodes that it reads from have failed or
are behind.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

import attrs
from result import Err, Result

from fordhatch.adapter import Row, RowKey, StoreVersion
from fordhatch.core import Failure, ResultCode, Timer, log_event
from fordhatch.protocol import (
    Channel,
    FrameError,
    PeerPool,
    VersionPair,
    pack_rows,
    to_refused,
    unpack_rows,
)
from fordhatch.protocol.messages import TableChanges, TablesChanged, WatchTables

from ._reader_choice import NodeAddress, ReaderChoice
from ._table_follower import TableFollower
from ._table_source import TableUpdate

RELAY_WAIT_S = 0.2
"""How long a node holds another node's query if a change must be in effect within two
seconds; an answer without changes relays the confirmation. If more time is allowed,
queries are held longer in proportion: each costs both sides about half a millisecond,
and an idle system does little else."""

WAIT_FRACTION = 0.1
"""Fraction of the time within which a change must be in effect for which a query is
held. A failed reader is detected a little later than that."""

MAX_RELAY_WAIT_S = 0.4
"""Maximum time for which a query is held. A copy relayed over two nodes must stay
younger than the age at which routes and keys may no longer be denied, 1.5 s."""

RELAY_TOLERANCE_S = 0.35
"""Time that an answer may take beyond the hold time before the queried node counts as
failed."""

START_TOLERANCE_S = 0.1
"""The same tolerance for a node without complete tables: its callers wait, and it can
read the tables from the store instead."""

LOADING_WAIT_S = 0.15
"""How long a query is held that arrives while this node still loads its tables. If all
nodes start at once, the first ones to finish can then answer."""

MAX_READER_AGE_S = 1.2
"""Maximum age of the copy of a node that queries the store itself; an older copy is
rejected. The node confirms it every 0.3 s, a slow store answers a third of a second
later, and a change must reach every node within two seconds."""

MAX_RELAY_AGE_S = 1.6
"""The same for a node that queries another one. It needs the time to replace its own
reader first; otherwise all nodes that read from it would replace theirs too."""


@attrs.define(eq=False, repr=False)
class RelayServer:
    """Answers other nodes' queries from this node's copies."""

    followers: Mapping[str, TableFollower]
    choice: ReaderChoice
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set at the next change of any table, then replaced by a new event."""
    _packed: dict[tuple[str, StoreVersion], tuple[StoreVersion, bool, bytes]] = (
        attrs.field(factory=dict)
    )
    """Answers since the last change by table and requested version, so that concurrent
    queries share the encoded rows."""

    @classmethod
    def create(
        cls, followers: Mapping[str, TableFollower], choice: ReaderChoice
    ) -> RelayServer:
        """Create a server that is subscribed to the copies' changes."""
        server = cls(followers, choice)
        for follower in followers.values():
            follower.copy.subscribe(server._wake)
        return server

    def _wake(self) -> None:
        self._packed.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, message: WatchTables, channel: Channel) -> None:
        """Answer one query."""
        self.choice.accept_role(as_first=message.as_first)
        requested = self._loaded(message)
        if len(requested) < len(message.after_versions):
            await self._wait_until_loaded(message)
            requested = self._loaded(message)
        if len(requested) < len(message.after_versions):
            failure = Failure.from_code(ResultCode.PEER_REFUSED, "table not followed")
            await channel.send(to_refused(failure))
            return
        stale = [
            f
            for f in requested.values()
            if f.must_be_fresh and f.age_s() > MAX_READER_AGE_S
        ]
        if stale:
            # The store may be unavailable. Holding the query lets this node report the
            # recovery at once.
            await _wait_until_fresh(message, stale)
        else:
            await self._wait_for_change(message, requested)
        tables = [
            self._changes(name, follower, _version(message.after_versions[name]))
            for name, follower in requested.items()
        ]
        await channel.send(TablesChanged(tables))

    def _loaded(self, message: WatchTables) -> dict[str, TableFollower]:
        """Return the requested followers that have loaded their tables."""
        return {
            name: self.followers[name]
            for name in message.after_versions
            if name in self.followers and self.followers[name].is_loaded
        }

    async def _wait_until_loaded(self, message: WatchTables) -> None:
        """Wait for the requested tables, at most ``LOADING_WAIT_S``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(message.wait_s, LOADING_WAIT_S)):
                while len(self._loaded(message)) < len(message.after_versions):
                    await self._changed.wait()

    async def _wait_for_change(
        self, message: WatchTables, requested: Mapping[str, TableFollower]
    ) -> None:
        """Wait until a requested table has changed, within the query's limit."""
        versions = {n: _version(v) for n, v in message.after_versions.items()}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(message.wait_s, MAX_RELAY_WAIT_S)):
                while not any(
                    f.copy.has_changed_after(versions[name])
                    for name, f in requested.items()
                ):
                    await self._changed.wait()

    def _changes(
        self, name: str, follower: TableFollower, after_version: StoreVersion
    ) -> TableChanges:
        key = name, after_version
        if key not in self._packed:
            update = follower.copy.after(after_version)
            rows = pack_rows(
                (row.row_key.key, *_pair(row.version), row.value, row.is_removed)
                for row in update.rows
            )
            self._packed[key] = update.version, update.is_whole, rows
        version, is_whole, rows = self._packed[key]
        return TableChanges(
            name,
            _pair(version),
            follower.age_s(),
            follower.steady_s(),
            is_whole,
            rows,
        )


async def _wait_until_fresh(message: WatchTables, stale: list[TableFollower]) -> None:
    """Wait until every table is fresh, within the query's limit."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(message.wait_s, MAX_RELAY_WAIT_S)):
            for follower in stale:
                await follower.wait_until_younger(MAX_READER_AGE_S)


@attrs.define(eq=False, repr=False)
class RelayClient:
    """Queries the node that this node reads from."""

    pool: PeerPool
    choice: ReaderChoice
    timer: Timer
    wait_s: float = RELAY_WAIT_S
    """How long the other node holds a query, in seconds."""

    async def query(
        self, reader: NodeAddress, followers: Mapping[str, TableFollower]
    ) -> bool:
        """Bring every table up to date from another node.

        Args:
            reader: The node to query.
            followers: Followers by table.

        Returns:
            Whether the node answered and its copies are recent enough.
        """
        versions = {name: _pair(f.version) for name, f in followers.items()}
        is_first = self.choice.is_first(reader)
        sent_s = self.timer.now_s()
        request = WatchTables(versions, self.wait_s, is_first)
        has_all = all(f.is_loaded for f in followers.values())
        tolerance_s = RELAY_TOLERANCE_S if has_all else START_TOLERANCE_S
        got = await self._request(reader, request, self.wait_s + tolerance_s)
        fresh = {name for name, f in followers.items() if f.must_be_fresh}
        problem, is_old = _problem(got, fresh, is_first=is_first)
        updates: dict[str, TableUpdate] = {}
        if not problem:
            try:
                updates = _updates(got.unwrap(), followers)
            except FrameError as error:
                problem = f"rows cannot be decoded: {error}"
        if problem:
            log_event("relay_failed", reader=reader.name, problem=problem)
            self.choice.failed(reader, is_only_behind=is_old)
            if is_old and got.is_ok():
                for follower in followers.values():
                    follower.record_stale_peer()
            return False
        self.choice.answered(reader)
        for name, update in updates.items():
            followers[name].apply(update, sent_s)
        return True

    async def _request(
        self, reader: NodeAddress, request: WatchTables, timeout_s: float
    ) -> Result[object, Failure]:
        try:
            async with asyncio.timeout(timeout_s):
                return await self.pool.request(reader.address, request, timeout_s)
        except TimeoutError:
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))


def _problem(
    got: Result[object, Failure], fresh: set[str], *, is_first: bool
) -> tuple[str, bool]:
    """Return why an answer can't be used, and whether it is only too old."""
    if got.is_err():
        # A node that refuses has just started and will have its tables shortly.
        code = got.unwrap_err().code
        return code.name, code is ResultCode.PEER_REFUSED
    answer = got.unwrap()
    if not isinstance(answer, TablesChanged):
        return "unexpected message", False
    max_s = MAX_READER_AGE_S if is_first else MAX_RELAY_AGE_S
    ages_s = [t.age_s for t in answer.tables if t.table in fresh]
    oldest_s = max(ages_s, default=0.0)
    if oldest_s > max_s:
        return f"copy is {oldest_s:.1f} s old", True
    return "", False


def _updates(
    answer: TablesChanged, followers: Mapping[str, TableFollower]
) -> dict[str, TableUpdate]:
    """Return the updates in an answer by table; none if any of them is malformed.

    Raises:
        FrameError: If rows cannot be decoded.
    """
    return {c.table: _update(c) for c in answer.tables if c.table in followers}


def _update(changes: TableChanges) -> TableUpdate:
    rows = [
        Row(RowKey(changes.table, key), StoreVersion(*version), value, is_removed)
        for key, *version, value, is_removed in unpack_rows(changes.rows)
    ]
    return TableUpdate(
        rows,
        _version(changes.version),
        changes.is_whole,
        changes.age_s,
        changes.steady_s,
    )


def _pair(version: StoreVersion) -> VersionPair:
    """Return the representation of a version in messages."""
    return [version.generation, version.number]


def _version(pair: VersionPair) -> StoreVersion:
    """Return the version in a message."""
    return StoreVersion(*pair)


def relay_wait_s(apply_s: float) -> float:
    """Return how long queries are held, in seconds.

    Args:
        apply_s: Time within which a change must be in effect, in seconds.
    """
    return min(max(RELAY_WAIT_S, WAIT_FRACTION * apply_s), MAX_RELAY_WAIT_S)
