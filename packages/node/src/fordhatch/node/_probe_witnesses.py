"""Second opinions of other nodes on backend servers that this one does not reach."""

from __future__ import annotations

import asyncio

import attrs
from result import Err, Ok, Result

from fordhatch.adapter import BackendReport, ReplyKind
from fordhatch.catalog import BackendServer
from fordhatch.core import Failure, ResultCode, Timer, log_event
from fordhatch.protocol import Channel, PeerPool
from fordhatch.protocol.messages import ProbeBackend, ProbeReply
from fordhatch.registry import (
    BackendProber,
    NodeAddress,
    Responder,
    StoreView,
    identify,
)

from ._relay_peers import RelayPeers

WITNESSES = 2
"""Nodes that are asked at once."""

REPLY_TIMEOUT_S = 0.6
"""Longest wait for a reply: two probes, one after the other, and the way."""

Report = Result[BackendReport, Failure]


@attrs.define(eq=False, repr=False)
class ProbeWitnesses:
    """Asks other nodes to probe backend servers, and probes for other nodes."""

    node_name: str
    view: StoreView
    prober: BackendProber
    peers: RelayPeers
    pool: PeerPool
    timer: Timer

    async def ask(self, backend: BackendServer) -> Report | None:
        """Return what other nodes found, or None if none of them can tell.

        One that reaches the backend server suffices to show that it is not lost.
        """
        nodes = await self._choose(backend.service)
        queries = (self._ask(node, backend) for node in nodes)
        replies = [r for r in await asyncio.gather(*queries) if r is not None]
        told = next((r for r in replies if r.is_ok()), None)
        told = told or next(iter(replies), None)
        log_event(
            "backend_probed_by_others",
            backend=backend.backend_id,
            asked=",".join(n.name for n in nodes),
            told=len(replies),
            answers=told is not None and told.is_ok(),
        )
        return told

    async def _choose(self, service: str) -> list[NodeAddress]:
        """Return nodes to ask: those known to be in touch first."""
        if self.prober.contact.is_cut_off(service):
            await self.peers.choose(service, ())
        chosen = {n.name: n for n in self.peers.in_touch(service)[:WITNESSES]}
        others = [
            node
            for name, node in self.view.shared.nodes.items()
            if name != self.node_name
            and node.can_relay
            and name not in chosen
            and not self.peers.is_silent(name)
        ]
        missing = min(WITNESSES - len(chosen), len(others))
        return [*chosen.values(), *self.timer.rng.sample(others, missing)]

    async def _ask(self, node: NodeAddress, backend: BackendServer) -> Report | None:
        message = ProbeBackend(backend.backend_id)
        answer = await self.pool.request(node.address, message, REPLY_TIMEOUT_S)
        reply = answer.ok()
        if not isinstance(reply, ProbeReply) or not reply.is_conclusive:
            return None
        if reply.code == ResultCode.OK:
            kind = ReplyKind.ANSWERED if reply.is_expected else ReplyKind.MISDIRECTED
            return Ok(BackendReport(kind, reply.pace, reply.born_ms))
        is_refused = reply.code == ResultCode.BACKEND_REFUSED
        code = ResultCode.BACKEND_REFUSED if is_refused else ResultCode.BACKEND_LOST
        return Err(Failure.from_code(code))

    async def answer(self, message: ProbeBackend, channel: Channel) -> None:
        """Probe a backend server for another node and reply."""
        backend = self.view.directory.backends.get(message.backend_id)
        if backend is None:
            await channel.send(_without_report(ResultCode.PROBE_INCONCLUSIVE))
            return
        await channel.send(_to_reply(backend, await self.prober.testify(backend)))


def _to_reply(backend: BackendServer, found: Report) -> ProbeReply:
    """Return the reply with what a probe found."""
    if found.is_err():
        return _without_report(found.unwrap_err().code)
    report = found.unwrap()
    responder = identify(backend, report)
    if responder is Responder.UNKNOWN:
        return _without_report(ResultCode.PROBE_INCONCLUSIVE)
    is_expected = responder is not Responder.OTHER_PROCESS
    return ProbeReply(
        True, int(ResultCode.OK), is_expected, report.pace, report.born_ms
    )


def _without_report(code: ResultCode) -> ProbeReply:
    is_conclusive = code is not ResultCode.PROBE_INCONCLUSIVE
    return ProbeReply(is_conclusive, int(code), False, 1.0, 0)
