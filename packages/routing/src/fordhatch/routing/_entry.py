"""Routing at the entry node: choice of group, attempts, retries and resumption."""

from __future__ import annotations

import json
from typing import Any

import attrs
from result import Err, Ok, Result

from fordhatch.config import ConfigFollower
from fordhatch.core import Failure, Ran, ResultCode, Timer, log_event
from fordhatch.engine import EngineClient
from fordhatch.groups import GroupMap, GroupRow, homes_of
from fordhatch.membership import DEAD, SUSPECT, MembershipTable
from fordhatch.protocol import PeerPool
from fordhatch.protocol.messages import (
    Answer,
    Dispatch,
    Finished,
    LoadHint,
    NodeRecord,
    Piece,
)

from ._choice import GroupChooser
from ._claims import RUNNING, ClaimKey, ClaimService, Present
from ._home import HomeDispatcher
from ._loads import LoadBook
from ._local import LocalChannel
from ._request import CallerRequest, Completion, Deliver, PlainReply, Reply
from ._retry_budget import RetryBudget

HOME_CHECK_S = 1.0
"""While a home is silent, its health is looked at so often."""

SHORTEST_TIME_S = 0.001
"""Less time than this is no time."""

MOST_FULL_GROUPS = 3
"""Groups that may be found full before the request is refused."""

FULL_AFTER_S = 0.5
"""A request that waited so long in a queue in vain is refused at once."""

MOST_ATTEMPTS = 8
"""Dispatches of one request, refusals included."""

PLACEMENT_WAIT_S = 4.0
"""Longest wait for a group to become ready; a repair with a spare takes less."""

PLACEMENT_PAUSE_S = 0.2
"""Pause between looks for a group that is ready."""

_TRY_ELSEWHERE = (
    ResultCode.NO_GROUP_READY,
    ResultCode.OVERLOADED,
    ResultCode.BACKEND_REFUSED,
    ResultCode.BACKEND_LOST,
    ResultCode.PEER_UNREACHABLE,
    ResultCode.PEER_REFUSED,
)
"""Refusals as not run that another group or home may not share."""

_CONTINUE_ELSEWHERE = (
    ResultCode.BACKEND_LOST,
    ResultCode.BACKEND_ERROR,
    ResultCode.STREAM_INCOMPLETE,
    ResultCode.PEER_UNREACHABLE,
    ResultCode.WRONG_ANSWER,
    ResultCode.INTERNAL,
)
"""Breaks after which repeatable work is continued on another group."""


@attrs.define
class _Progress:
    """How far a request has come over all its attempts."""

    started_s: float
    deadline_s: float
    overloaded: int = 0
    """Groups that were full."""
    delivered: list[str] = attrs.field(factory=list)
    attempts: int = 0
    """Attempts that count against ``MOST_ATTEMPTS``."""
    sent: int = 0
    """Numbers every attempt, so that no two share a request identifier."""
    avoided: set[str] = attrs.field(factory=set)
    """Group and home pairs that refused or broke, as ``group@home``."""
    waited_since_s: float | None = None
    may_have_run: bool = False
    """Whether any attempt so far may have run."""

    def final(self, failure: Failure) -> Result[Reply, Failure]:
        """Return the caller's failure; ``no`` needs the proof of every attempt."""
        if self.may_have_run and failure.ran is Ran.NO:
            failure = attrs.evolve(failure, ran=Ran.MAYBE)
        return Err(failure)


@attrs.define(eq=False)
class EntryRouter:
    """Finds a home for each request and sees its answer through."""

    node_id: str
    config: ConfigFollower
    groups: GroupMap
    nodes: MembershipTable
    pool: PeerPool
    home: HomeDispatcher
    claims: ClaimService
    engines: EngineClient
    chooser: GroupChooser
    loads: LoadBook
    budget: RetryBudget
    timer: Timer

    async def run(
        self, request: CallerRequest, deliver: Deliver
    ) -> Result[Reply, Failure]:
        """Run a request to its final answer.

        Args:
            request: The request.
            deliver: Called with every token in order, once.

        Returns:
            The whole answer, or why there is none and whether anything ran.
        """
        now_s = self.timer.now_s()
        progress = _Progress(now_s, now_s + request.timeout_s)
        self.budget.earn()
        if not request.claimed:
            return await self._attempts(request, progress, deliver)
        return await self._once(request, progress, deliver)

    # Requests that may run at most once.

    async def _once(
        self, request: CallerRequest, progress: _Progress, deliver: Deliver
    ) -> Result[Reply, Failure]:
        key = ClaimKey(request.workspace.name, request.idempotency_key, request.digest)
        last: Result[Reply, Failure] | None = None
        while self._left_s(progress) > 0:
            found = await self.claims.look_up(key)
            if found.is_err():
                return last or progress.final(found.unwrap_err())
            present = found.unwrap()
            if present is not None:
                settled = await self._settled(key, present, progress)
                if settled is None:
                    continue
                return await self._replay(request, settled, deliver)
            last = await self._attempts(request, progress, deliver)
            if last.is_ok() or not self._look_again(last.unwrap_err()):
                return last
        return last or progress.final(_no_group())

    def _look_again(self, failure: Failure) -> bool:
        """Return whether the claim tells more than the failure does."""
        if failure.code is ResultCode.IN_PROGRESS:
            return True
        return failure.code is ResultCode.PEER_UNREACHABLE and failure.ran is Ran.MAYBE

    async def _settled(
        self, key: ClaimKey, present: Present, progress: _Progress
    ) -> Result[Answer, Failure] | None:
        """Return the answer of a claim, or None when the key is free again."""
        if present.row.value["digest"] != key.request_digest:
            return Err(Failure.from_code(ResultCode.KEY_REUSED))
        waited = await self.claims.wait(key, present, self._left_s(progress))
        if waited.is_err():
            return waited
        if waited.unwrap() is None:
            return None
        present = waited.unwrap()
        if present.state != RUNNING:
            return await self.claims.answer_of(present)
        if await self._proved_not_run(present) and await self.claims.reopen(
            key, present
        ):
            return None
        return Err(Failure.from_code(ResultCode.OUTCOME_UNKNOWN))

    async def _proved_not_run(self, present: Present) -> bool:
        """Ask the engine whether it ever saw the request, and bar it if not."""
        target = present.row.value["target"]
        if not target["boot_id"]:
            return False
        asked = await self.engines.cancel(target["address"], target["request_id"])
        if asked.is_err():
            return False
        outcome = asked.unwrap()
        return not outcome.known and outcome.boot_id == target["boot_id"]

    async def _replay(
        self,
        request: CallerRequest,
        settled: Result[Answer, Failure],
        deliver: Deliver,
    ) -> Result[Reply, Failure]:
        if settled.is_err():
            return Err(settled.unwrap_err())
        answer = settled.unwrap()
        if not request.is_model:
            return Ok(PlainReply(answer.status, answer.headers, answer.body, True))
        stored = json.loads(answer.body)
        await deliver(0, stored["text"])
        return Ok(Completion(stored["text"], stored["tokens"], stored["reason"], True))

    # Attempts.

    async def _attempts(
        self, request: CallerRequest, progress: _Progress, deliver: Deliver
    ) -> Result[Reply, Failure]:
        failure = _no_group()
        while progress.attempts < MOST_ATTEMPTS:
            if self._left_s(progress) <= 0:
                return progress.final(_deadline(progress, failure))
            chosen = self._choose(request, progress)
            if chosen is None:
                if not await self._wait_for_group(progress, failure):
                    return progress.final(failure)
                continue
            row, home = chosen
            done = await self._attempt(request, row, home, progress, deliver)
            if done.is_ok():
                self.loads.succeeded(row.group_id)
                return done
            failure = done.unwrap_err()
            progress.may_have_run |= failure.ran is Ran.MAYBE
            progress.avoided.add(f"{row.group_id}@{home.node_id}")
            if not self._go_on(request, row, progress, failure):
                return progress.final(failure)
        return progress.final(failure)

    def _go_on(
        self,
        request: CallerRequest,
        row: GroupRow,
        progress: _Progress,
        failure: Failure,
    ) -> bool:
        """Decide whether another attempt is right after a failure."""
        if failure.code is ResultCode.OVERLOADED:
            progress.overloaded += 1
            waited_s = self.timer.now_s() - progress.started_s
            if progress.overloaded >= MOST_FULL_GROUPS or waited_s > FULL_AFTER_S:
                # Waiting in one queue after the other would hold the answer back.
                return False
        if failure.ran is Ran.NO and not progress.delivered:
            return failure.code in _TRY_ELSEWHERE
        if failure.ran is Ran.NO:
            # Refused on the way to continue a broken stream.
            return request.repeatable and failure.code in _TRY_ELSEWHERE
        self.loads.failed(row.group_id)
        if not request.repeatable or failure.code not in _CONTINUE_ELSEWHERE:
            return False
        if not self.budget.spend():
            log_event("retry_budget_spent", request=request.request_id)
            return False
        log_event(
            "request_continued",
            request=request.request_id,
            group=row.group_id,
            code=int(failure.code),
            delivered=len(progress.delivered),
        )
        # Homes that were busy or not ready may have changed since.
        progress.avoided = {f"{row.group_id}@{h}" for h in self._home_ids(row)}
        return True

    def _home_ids(self, row: GroupRow) -> list[str]:
        return [home.node_id for home in homes_of(row, self.nodes)]

    async def _wait_for_group(self, progress: _Progress, failure: Failure) -> bool:
        """Wait briefly for a group to become ready; overload is final at once."""
        if failure.code is ResultCode.OVERLOADED:
            return False
        now_s = self.timer.now_s()
        if progress.waited_since_s is None:
            progress.waited_since_s = now_s
        if now_s - progress.waited_since_s > PLACEMENT_WAIT_S:
            return False
        await self.timer.sleep(self.timer.jittered(PLACEMENT_PAUSE_S))
        progress.avoided.clear()
        progress.attempts = min(progress.attempts, MOST_ATTEMPTS - 2)
        return True

    def _choose(
        self, request: CallerRequest, progress: _Progress
    ) -> tuple[GroupRow, NodeRecord] | None:
        rows = self.groups.of_service(request.application.service)
        reachable = {}
        for row in rows:
            home = self._home_of(row, progress)
            if home is not None:
                reachable[row.group_id] = (row, home)
        if not reachable:
            return None
        steady = [
            r for r, _ in reachable.values() if not self.loads.ejected(r.group_id)
        ]
        candidates = steady or [r for r, _ in reachable.values()]
        row = self.chooser.choose(candidates, request.prefix_key, self.loads)
        return reachable[row.group_id]

    def _home_of(self, row: GroupRow, progress: _Progress) -> NodeRecord | None:
        for home in homes_of(row, self.nodes):
            if f"{row.group_id}@{home.node_id}" not in progress.avoided:
                return home
        return None

    async def _attempt(
        self,
        request: CallerRequest,
        row: GroupRow,
        home: NodeRecord,
        progress: _Progress,
        deliver: Deliver,
    ) -> Result[Reply, Failure]:
        dispatch = request.to_dispatch(
            row, self._left_s(progress), progress.delivered, progress.sent
        )
        progress.sent += 1
        progress.attempts += 1
        opened = await self._open(home, dispatch)
        if opened.is_err():
            return opened
        channel = opened.unwrap()
        self.loads.started(row.group_id)
        try:
            return await self._receive(channel, home, progress, deliver)
        finally:
            self.loads.ended(row.group_id)
            await channel.close()

    async def _open(self, home: NodeRecord, dispatch: Dispatch) -> Result[Any, Failure]:
        if home.node_id == self.node_id:
            return Ok(LocalChannel.from_handler(self.home.serve, dispatch))
        return await self.pool.open(home.address, dispatch)

    async def _receive(
        self, channel: Any, home: NodeRecord, progress: _Progress, deliver: Deliver
    ) -> Result[Reply, Failure]:
        while (left_s := self._left_s(progress)) > 0:
            received = await channel.receive(min(left_s, HOME_CHECK_S))
            if received.is_err():
                failure = received.unwrap_err()
                waiting = failure.code is ResultCode.DEADLINE_EXCEEDED
                if waiting and self._seems_alive(home):
                    continue
                if waiting:
                    failure = Failure.from_code(
                        ResultCode.PEER_UNREACHABLE, ran=Ran.MAYBE
                    )
                return Err(failure)
            reply = await self._take(received.unwrap(), progress, deliver)
            if reply is not None:
                return reply
        return Err(Failure.from_code(ResultCode.DEADLINE_EXCEEDED))

    def _seems_alive(self, home: NodeRecord) -> bool:
        known = self.nodes.find(home.node_id)
        return known is not None and known.state not in (SUSPECT, DEAD)

    async def _take(
        self, message: Any, progress: _Progress, deliver: Deliver
    ) -> Result[Reply, Failure] | None:
        if isinstance(message, LoadHint):
            self.loads.take_hint(message)
            return None
        if isinstance(message, Piece):
            expected = len(progress.delivered)
            if message.index < expected:
                return None
            if message.index > expected:
                return Err(Failure.from_code(ResultCode.STREAM_INCOMPLETE))
            await deliver(message.index, message.text)
            progress.delivered.append(message.text)
            return None
        if isinstance(message, Finished):
            if message.tokens != len(progress.delivered):
                return Err(Failure.from_code(ResultCode.STREAM_INCOMPLETE))
            return Ok(_completion(message, progress))
        if isinstance(message, Answer):
            return Ok(PlainReply(message.status, message.headers, message.body))
        return Err(Failure.from_code(ResultCode.WRONG_ANSWER))

    def _left_s(self, progress: _Progress) -> float:
        """Return the time left; what no timer can measure counts as none."""
        left_s = progress.deadline_s - self.timer.now_s()
        return left_s if left_s > SHORTEST_TIME_S else 0.0


def _completion(message: Finished, progress: _Progress) -> Completion:
    text = "".join(progress.delivered)
    return Completion(
        text, message.tokens, message.reason, cached_tokens=message.cached_tokens
    )


def _no_group() -> Failure:
    return Failure.from_code(ResultCode.NO_GROUP_READY, retry_after_s=2.0)


def _deadline(progress: _Progress, last: Failure) -> Failure:
    ran = Ran.MAYBE if progress.delivered else last.ran
    return Failure.from_code(ResultCode.DEADLINE_EXCEEDED, ran=ran, retry_after_s=1.0)
