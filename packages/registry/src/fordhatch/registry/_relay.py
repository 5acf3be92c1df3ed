"""Tables of the store, passed on from node to node.

Few nodes ask the store; the others ask them. Any node can ask the store itself at any
moment, and does so as soon as the node that it asks fails or is behind.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import Row, RowKey
from fordhatch.core import Failure, ResultCode, log_event
from fordhatch.protocol import Channel, PeerPool, to_refused
from fordhatch.protocol.messages import TableChanges, WatchTable

from ._reader_choice import NodeAddress, ReaderChoice
from ._table_follower import TableFollower
from ._table_source import NOTHING, StoreSource, TableUpdate

RELAY_WAIT_S = 0.2
"""How long a node holds another's question: answers without changes carry the
confirmation on, and cost nothing but a few bytes."""

RELAY_SLACK_S = 0.35
"""What an answer may take beyond that before the asked node counts as failed."""

RELAY_MOST_AGE_S = 1.2
"""A node whose own knowledge is older is not worth asking: readers confirm theirs
every 0.3 s, and two seconds is all there is for a change to reach every node."""


@attrs.define(eq=False)
class RelayServer:
    """Answers other nodes from this node's copies."""

    followers: Mapping[str, TableFollower]

    async def serve(self, message: WatchTable, channel: Channel) -> None:
        """Answer one question."""
        follower = self.followers.get(message.table)
        if follower is None or not follower.is_loaded:
            failure = Failure.from_code(ResultCode.PEER_REFUSED, "table not followed")
            await channel.send(to_refused(failure))
            return
        wait_s = min(message.wait_s, RELAY_WAIT_S)
        update = await follower.copy.wait(message.after_version, wait_s)
        rows = [
            (row.row_key.key, row.version, row.value, row.is_removed)
            for row in update.rows
        ]
        answer = TableChanges(update.version, follower.age_s(), update.is_whole, rows)
        await channel.send(answer)


@attrs.define(eq=False)
class RelaySource:
    """Asks the node that reads for this one, or the store itself."""

    store: StoreSource
    pool: PeerPool
    choice: ReaderChoice

    async def update(
        self, table: str, after_version: int, wait_s: float
    ) -> Result[TableUpdate, Failure]:
        """See ``TableSource.update``."""
        reader = self.choice.choose()
        if reader is None:
            return await self.store.update(table, after_version, wait_s)
        asked = WatchTable(table, after_version, RELAY_WAIT_S)
        problem, got = await self._ask(reader, asked)
        if problem is None:
            self.choice.answered(reader)
            return Ok(_update(table, got.unwrap()))
        log_event("relay_failed", node=reader.name, table=table, problem=problem)
        self.choice.failed(reader)
        # The store is asked for everything: a node that was behind may have left
        # changes out.
        return await self.store.update(table, NOTHING, wait_s)

    async def _ask(
        self, reader: NodeAddress, asked: WatchTable
    ) -> tuple[str | None, Result[object, Failure]]:
        timeout_s = RELAY_WAIT_S + RELAY_SLACK_S
        try:
            async with asyncio.timeout(timeout_s):
                got = await self.pool.request(reader.address, asked, timeout_s)
        except TimeoutError:
            got = Err(Failure.from_code(ResultCode.PEER_UNREACHABLE))
        return _problem(got), got


def _problem(got: Result[object, Failure]) -> str | None:
    """Return why an answer is of no use, or None."""
    if got.is_err():
        return got.unwrap_err().code.name
    answer = got.unwrap()
    if not isinstance(answer, TableChanges):
        return "unexpected message"
    if answer.age_s > RELAY_MOST_AGE_S:
        return f"its knowledge is {answer.age_s:.1f} s old"
    return None


def _update(table: str, answer: TableChanges) -> TableUpdate:
    rows = [
        Row(RowKey(table, key), version, value, is_removed)
        for key, version, value, is_removed in answer.rows
    ]
    return TableUpdate(rows, answer.version, answer.is_whole, answer.age_s)
