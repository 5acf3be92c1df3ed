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

from fordhatch.adapter import Row, RowKey
from fordhatch.core import Failure, ResultCode, Timer, log_event
from fordhatch.protocol import Channel, PeerPool, to_refused
from fordhatch.protocol.messages import TableChanges, TablesChanged, WatchTables

from ._reader_choice import NodeAddress, ReaderChoice
from ._table_follower import TableFollower
from ._table_source import TableUpdate

RELAY_WAIT_S = 0.2
"""How long a node holds another's question: answers without changes carry the
confirmation on, and cost nothing but a few bytes."""

RELAY_SLACK_S = 0.35
"""What an answer may take beyond that before the asked node counts as failed."""

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

    async def serve(self, message: WatchTables, channel: Channel) -> None:
        """Answer one question."""
        self.choice.asked(as_first=message.as_first)
        asked = {
            name: self.followers[name]
            for name in message.after_versions
            if name in self.followers and self.followers[name].is_loaded
        }
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
            await _until_changed(message, asked)
        tables = [
            _changes(name, follower, message.after_versions[name])
            for name, follower in asked.items()
        ]
        await channel.send(TablesChanged(tables))


async def _until_fresh(message: WatchTables, old: list[TableFollower]) -> None:
    """Wait until every table is fresh, but not for longer than is wanted."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(message.wait_s, RELAY_WAIT_S)):
            for follower in old:
                await follower.until_younger(READER_MOST_AGE_S)


async def _until_changed(
    message: WatchTables, asked: Mapping[str, TableFollower]
) -> None:
    """Wait until some table has changed, but not for longer than is wanted."""
    waits = [
        asyncio.ensure_future(f.copy.until_after(message.after_versions[name]))
        for name, f in asked.items()
    ]
    try:
        await asyncio.wait(
            waits,
            timeout=min(message.wait_s, RELAY_WAIT_S),
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for wait in waits:
            wait.cancel()


def _changes(name: str, follower: TableFollower, after_version: int) -> TableChanges:
    update = follower.copy.after(after_version)
    rows = [
        [row.row_key.key, row.version, row.value, row.is_removed] for row in update.rows
    ]
    return TableChanges(
        name,
        update.version,
        follower.age_s(),
        follower.steady_s(),
        update.is_whole,
        rows,
    )


@attrs.define(eq=False, repr=False)
class RelayClient:
    """Asks the node that reads for this one."""

    pool: PeerPool
    choice: ReaderChoice
    timer: Timer

    async def ask(
        self, reader: NodeAddress, followers: Mapping[str, TableFollower]
    ) -> bool:
        """Bring every table up to date from another node.

        Returns:
            Whether it answered and knows enough.
        """
        versions = {name: f.version for name, f in followers.items()}
        is_first = self.choice.is_first(reader)
        sent_s = self.timer.now_s()
        got = await self._request(reader, WatchTables(versions, RELAY_WAIT_S, is_first))
        fresh = {name for name, f in followers.items() if f.must_be_fresh}
        problem, is_old = _problem(got, fresh, is_first=is_first)
        if problem:
            log_event("relay_failed", reader=reader.name, problem=problem)
            self.choice.failed(reader, is_only_behind=is_old)
            if is_old and got.is_ok():
                for follower in followers.values():
                    follower.found_stale()
            return False
        self.choice.answered(reader)
        for changes in got.unwrap().tables:
            follower = followers.get(changes.table)
            if follower is not None:
                follower.take(_update(changes), sent_s)
        return True

    async def _request(
        self, reader: NodeAddress, asked: WatchTables
    ) -> Result[object, Failure]:
        timeout_s = RELAY_WAIT_S + RELAY_SLACK_S
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


def _update(changes: TableChanges) -> TableUpdate:
    rows = [
        Row(RowKey(changes.table, key), version, value, is_removed)
        for key, version, value, is_removed in changes.rows
    ]
    return TableUpdate(
        rows, changes.version, changes.is_whole, changes.age_s, changes.steady_s
    )
