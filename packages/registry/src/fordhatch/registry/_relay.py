"""Tables of the store, passed on from node to node.

Few nodes ask the store; the others ask them, for all tables at once. Any node can ask
the store itself at any moment, and does so when those that it asks are lost or behind.
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
"""How long a node holds another's question where a change must be in force within two
seconds: answers without changes carry the confirmation on. Where more time is allowed,
questions are held longer in proportion: each costs both sides about half a
millisecond, and on a quiet system nothing else goes on."""

WAIT_SHARE = 0.1
"""Share of the time within which a change must be in force that a question is held: a
reader that has failed is noticed a little later than that."""

RELAY_MOST_WAIT_S = 0.4
"""Longest such time: knowledge that passes over two nodes stays younger than the
age at which routes and keys may no longer be denied, 1.5 s."""

RELAY_SLACK_S = 0.35
"""What an answer may take beyond that before the asked node counts as failed."""

START_SLACK_S = 0.1
"""The same for a node that has nothing yet: its callers wait, and the
store has it as well."""

LOADING_WAIT_S = 0.15
"""How long a question is held that comes while this node reads its tables itself.
Where all nodes have started at once, the first ones then answer for the others."""

READER_MOST_AGE_S = 1.2
"""A node that asks the store itself is not worth asking when its knowledge is older:
it confirms it every 0.3 s, a store that is slow answers a third of a second later, and
two seconds is all there is for a change to reach every node."""

RELAY_MOST_AGE_S = 1.6
"""The same for a node that asks another one: it must have the time to leave its own
reader first, or all that ask it would leave as well."""


@attrs.define(eq=False, repr=False)
class RelayServer:
    """Answers other nodes from this node's copies."""

    followers: Mapping[str, TableFollower]
    choice: ReaderChoice
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set at the next change of any table, and replaced by a new one then."""
    _packed: dict[tuple[str, StoreVersion], tuple[StoreVersion, bool, bytes]] = (
        attrs.field(factory=dict)
    )
    """Answers since the last change by table and version asked for: all who ask at
    the same time get the same bytes."""

    @classmethod
    def create(
        cls, followers: Mapping[str, TableFollower], choice: ReaderChoice
    ) -> RelayServer:
        """Return a server that follows the copies' changes."""
        server = cls(followers, choice)
        for follower in followers.values():
            follower.copy.subscribe(server._wake)
        return server

    def _wake(self) -> None:
        self._packed.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, message: WatchTables, channel: Channel) -> None:
        """Answer one question."""
        self.choice.asked(as_first=message.as_first)
        asked = self._loaded(message)
        if len(asked) < len(message.after_versions):
            await self._until_loaded(message)
            asked = self._loaded(message)
        if len(asked) < len(message.after_versions):
            failure = Failure.from_code(ResultCode.PEER_REFUSED, "table not followed")
            await channel.send(to_refused(failure))
            return
        old = [
            f
            for f in asked.values()
            if f.must_be_fresh and f.age_s() > READER_MOST_AGE_S
        ]
        if old:
            # The store may be away: whoever waits here hears of its return at once.
            await _until_fresh(message, old)
        else:
            await self._until_changed(message, asked)
        tables = [
            self._changes(name, follower, _version(message.after_versions[name]))
            for name, follower in asked.items()
        ]
        await channel.send(TablesChanged(tables))

    def _loaded(self, message: WatchTables) -> dict[str, TableFollower]:
        """Return the followers that a question asks for, if they have their tables."""
        return {
            name: self.followers[name]
            for name in message.after_versions
            if name in self.followers and self.followers[name].is_loaded
        }

    async def _until_loaded(self, message: WatchTables) -> None:
        """Wait a little for the tables that are asked for."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(message.wait_s, LOADING_WAIT_S)):
                while len(self._loaded(message)) < len(message.after_versions):
                    await self._changed.wait()

    async def _until_changed(
        self, message: WatchTables, asked: Mapping[str, TableFollower]
    ) -> None:
        """Wait until some table has changed, but not for longer than is wanted."""
        versions = {n: _version(v) for n, v in message.after_versions.items()}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(message.wait_s, RELAY_MOST_WAIT_S)):
                while not any(
                    f.copy.has_changed_after(versions[name])
                    for name, f in asked.items()
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


async def _until_fresh(message: WatchTables, old: list[TableFollower]) -> None:
    """Wait until every table is fresh, but not for longer than is wanted."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(message.wait_s, RELAY_MOST_WAIT_S)):
            for follower in old:
                await follower.until_younger(READER_MOST_AGE_S)


@attrs.define(eq=False, repr=False)
class RelayClient:
    """Asks the node that reads for this one."""

    pool: PeerPool
    choice: ReaderChoice
    timer: Timer
    wait_s: float = RELAY_WAIT_S
    """How long the other node holds a question."""

    async def ask(
        self, reader: NodeAddress, followers: Mapping[str, TableFollower]
    ) -> bool:
        """Bring every table up to date from another node.

        Returns:
            Whether it answered and knows enough.
        """
        versions = {name: _pair(f.version) for name, f in followers.items()}
        is_first = self.choice.is_first(reader)
        sent_s = self.timer.now_s()
        asked = WatchTables(versions, self.wait_s, is_first)
        has_all = all(f.is_loaded for f in followers.values())
        slack_s = RELAY_SLACK_S if has_all else START_SLACK_S
        got = await self._request(reader, asked, self.wait_s + slack_s)
        fresh = {name for name, f in followers.items() if f.must_be_fresh}
        problem, is_old = _problem(got, fresh, is_first=is_first)
        updates: dict[str, TableUpdate] = {}
        if not problem:
            try:
                updates = _updates(got.unwrap(), followers)
            except FrameError as error:
                problem = f"its rows can't be read: {error}"
        if problem:
            log_event("relay_failed", reader=reader.name, problem=problem)
            self.choice.failed(reader, is_only_behind=is_old)
            if is_old and got.is_ok():
                for follower in followers.values():
                    follower.found_stale()
            return False
        self.choice.answered(reader)
        for name, update in updates.items():
            followers[name].take(update, sent_s)
        return True

    async def _request(
        self, reader: NodeAddress, asked: WatchTables, timeout_s: float
    ) -> Result[object, Failure]:
        try:
            async with asyncio.timeout(timeout_s):
                return await self.pool.request(reader.address, asked, timeout_s)
        except TimeoutError:
            return Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))


def _problem(
    got: Result[object, Failure], fresh: set[str], *, is_first: bool
) -> tuple[str, bool]:
    """Return why an answer can't be used, and whether it is only too old."""
    if got.is_err():
        # A node that refuses has just started, and will know more in a moment.
        code = got.unwrap_err().code
        return code.name, code is ResultCode.PEER_REFUSED
    answer = got.unwrap()
    if not isinstance(answer, TablesChanged):
        return "unexpected message", False
    most_s = READER_MOST_AGE_S if is_first else RELAY_MOST_AGE_S
    ages_s = [t.age_s for t in answer.tables if t.table in fresh]
    oldest_s = max(ages_s, default=0.0)
    if oldest_s > most_s:
        return f"its knowledge is {oldest_s:.1f} s old", True
    return "", False


def _updates(
    answer: TablesChanged, followers: Mapping[str, TableFollower]
) -> dict[str, TableUpdate]:
    """Return what an answer says of each table, all of it or nothing.

    Raises:
        FrameError: If rows can't be read.
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
    """Return a version as messages hold it."""
    return [version.generation, version.number]


def _version(pair: VersionPair) -> StoreVersion:
    """Return the version in a message."""
    return StoreVersion(*pair)


def relay_wait_s(apply_s: float) -> float:
    """Return how long questions are held.

    Args:
        apply_s: Within this time a change must be in force.
    """
    return min(max(RELAY_WAIT_S, WAIT_SHARE * apply_s), RELAY_MOST_WAIT_S)
