"""Finds nodes that reach the backend servers of a service when this one does not."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Collection

import attrs

from fordhatch.core import TaskSet, Timer, log_event
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import MAX_HINTS, ContactReply, QueryContact
from fordhatch.registry import NodeAddress, StoreView

QUERY_TIMEOUT_S = 0.25
"""Longest wait for a reply; a reachable node replies within milliseconds."""

QUERIES_AT_ONCE = 8
"""Nodes that are queried at the same time."""

WANTED_PEERS = 3
"""Nodes in touch among which the requests are spread."""

CONFIRMED_S = 1.0
"""How long a reply counts, or an attempt that a node has made for this one."""

DENIED_S = 0.5
"""How long a node is left out that is cut off as well."""

STRAGGLERS_S = 0.05
"""How long requests wait for the last replies once most of the nodes have replied."""

NONE_FOUND_S = 1.0
"""How long requests don't wait for a search after one that found none. A node that is
cut off searches about twice in this time."""

ASKED_S = 2.0
"""How long a node that has asked counts as cut off; it asks again within this time."""


@attrs.define(eq=False, repr=False)
class RelayPeers:
    """The nodes known to be in touch with the backend servers of a service."""

    node_name: str
    zone: str
    view: StoreView
    pool: PeerPool
    timer: Timer
    in_flight: Counter[str] = attrs.field(factory=Counter)
    """Attempts in progress through each node."""
    _confirmed_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """When a node was last known to be in touch, by service and name."""
    _denied_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _silent: set[str] = attrs.field(factory=set)
    """Nodes that did not reply and have not been heard of since. No request waits for
    their replies."""
    _querying: set[tuple[str, str]] = attrs.field(factory=set)
    """The queries in progress, by service and name."""
    _asked_s: dict[str, float] = attrs.field(factory=dict)
    """When each node last showed that it is cut off, by asking this one."""
    _none_found_s: dict[str, float] = attrs.field(factory=dict)
    """When the last search found no node in touch, by service."""
    _searches: dict[str, asyncio.Task[object]] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    async def choose(
        self, service: str, tried: Collection[str], wait_s: float = QUERY_TIMEOUT_S
    ) -> NodeAddress | None:
        """Return the best node in touch, after a search if none is known.

        While the last search has found none, the next one is begun and not waited for.

        Args:
            service: The service whose backend servers are needed.
            tried: Names of nodes that are not to be returned.
            wait_s: Longest wait for the search, in seconds.
        """
        node = self._best(service, tried)
        if node is not None:
            return node
        is_known = self._none_found_s.get(service, -math.inf) >= (
            self.timer.now_s() - NONE_FOUND_S
        )
        await self.search(service, 0.0 if is_known else wait_s)
        return self._best(service, tried)

    def _best(self, service: str, tried: Collection[str]) -> NodeAddress | None:
        """Return the node with the fewest attempts in progress, of this zone if any."""
        nodes = [n for n in self.in_touch(service) if n.name not in tried]

        def cost(node: NodeAddress) -> tuple[int, bool, float]:
            is_far = node.zone != self.zone
            return self.in_flight[node.name], is_far, self.timer.rng.random()

        return min(nodes, key=cost, default=None)

    def in_touch(self, service: str) -> list[NodeAddress]:
        """Return the nodes that are known to reach the service now."""
        nodes, since_s = self.view.shared.nodes, self.timer.now_s() - CONFIRMED_S
        return [
            nodes[name]
            for (found, name), at_s in self._confirmed_s.items()
            if found == service and at_s >= since_s and name in nodes
        ]

    def confirm(self, service: str, name: str) -> None:
        """Record that a node reaches the service."""
        self._confirmed_s[service, name] = self.timer.now_s()
        self._denied_s.pop((service, name), None)

    def deny(self, service: str, name: str) -> None:
        """Record that a node does not reach the service, or does not reply."""
        self._confirmed_s.pop((service, name), None)
        self._denied_s[service, name] = self.timer.now_s()

    def record_silence(self, service: str, name: str) -> None:
        """Record that a node did not respond; it is left out until it is heard of."""
        self.deny(service, name)
        self._silent.add(name)

    def is_silent(self, name: str) -> bool:
        """Return whether a node did not respond and has not been heard of since."""
        return name in self._silent

    async def search(self, service: str, wait_s: float = QUERY_TIMEOUT_S) -> None:
        """Query other nodes until one is in touch or most have replied.

        Args:
            service: The service.
            wait_s: Longest wait, in seconds; the search goes on after it.
        """
        task = self._searches.get(service)
        if task is None or task.done():
            task = self._tasks.spawn(self._search(service), f"search-{service}")
            self._searches[service] = task
        # The search serves every request that waits, so that none may cancel it.
        await asyncio.wait([task], timeout=max(wait_s, 0.0))

    async def _search(self, service: str) -> None:
        candidates = self._candidates(service)
        # Their replies count when they come.
        self._query_silent(service)
        while candidates:
            batch = candidates[:QUERIES_AT_ONCE]
            candidates = candidates[QUERIES_AT_ONCE:]
            if await self._query_all(service, batch):
                return
        self._none_found_s[service] = self.timer.now_s()
        log_event("no_node_in_touch", service=service)

    async def _query_all(self, service: str, nodes: list[NodeAddress]) -> bool:
        """Query nodes at once; return whether one of them knows a node in touch.

        Those that reply late are not waited for once most have replied. Their replies
        count when they come.
        """
        queries = {
            self._tasks.spawn(self._query(service, n), "query-contact") for n in nodes
        }
        while queries:
            are_few = len(queries) <= len(nodes) / 2
            done, queries = await asyncio.wait(
                queries,
                timeout=STRAGGLERS_S if are_few else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(query.result() for query in done):
                return True
            if not done:
                break
        return False

    def _candidates(self, service: str) -> list[NodeAddress]:
        """Return the nodes to query, in random order."""
        since_s = self.timer.now_s() - DENIED_S
        nodes = [
            node
            for node in self._others()
            if self._denied_s.get((service, node.name), -math.inf) < since_s
            and not self.is_silent(node.name)
            and (service, node.name) not in self._querying
        ]
        self.timer.rng.shuffle(nodes)
        return nodes

    def _others(self) -> list[NodeAddress]:
        """Return the other nodes that understand the messages."""
        nodes = self.view.shared.nodes
        self._silent.intersection_update(nodes)
        return [n for m, n in nodes.items() if m != self.node_name and n.can_relay]

    def _query_silent(self, service: str) -> None:
        """Begin to query the nodes that did not reply, to learn when they do."""
        for node in self._others():
            if self.is_silent(node.name):
                self._begin_query(service, node)

    def _begin_query(self, service: str, node: NodeAddress) -> None:
        if (service, node.name) not in self._querying:
            self._tasks.spawn(self._query(service, node), "query-contact")

    async def _query(self, service: str, node: NodeAddress) -> bool:
        """Query a node; return whether it, or a node it names, is in touch."""
        message = QueryContact(service)
        self._querying.add((service, node.name))
        try:
            answer = await self.pool.request(node.address, message, QUERY_TIMEOUT_S)
        finally:
            self._querying.discard((service, node.name))
        reply = answer.ok()
        if not isinstance(reply, ContactReply):
            self.record_silence(service, node.name)
            return False
        self._silent.discard(node.name)
        if reply.is_in_touch:
            self.confirm(service, node.name)
            return True
        self.deny(service, node.name)
        known = [name for name in reply.nodes if name in self.view.shared.nodes]
        for name in known:
            self.confirm(service, name)
        return bool(known)

    async def refresh(self, service: str) -> None:
        """Keep enough nodes known to be in touch, for requests that come next."""
        for node in self.in_touch(service):
            self._begin_query(service, node)
        self._query_silent(service)
        if len(self.in_touch(service)) < WANTED_PEERS:
            await self.search(service)

    def hints(self, service: str) -> list[str]:
        """Return names of nodes in touch, for a node that asks this one."""
        return [node.name for node in self.in_touch(service)][:MAX_HINTS]

    def record_asker(self, name: str) -> None:
        """Record that a node has asked for help and so is cut off."""
        self._asked_s[name] = self.timer.now_s()
        self._silent.discard(name)

    def are_cut_off(self) -> set[str]:
        """Return the names of nodes that have asked this one for help lately."""
        since_s = self.timer.now_s() - ASKED_S
        self._asked_s = {n: s for n, s in self._asked_s.items() if s >= since_s}
        return set(self._asked_s)

    async def close(self) -> None:
        """Cancel pending queries."""
        await self._tasks.close()
