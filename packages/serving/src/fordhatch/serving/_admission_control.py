"""Admission control under scarcity: asks ``fordhatch.scheduling`` about each request.

Takes effect for services whose routes declare more than one priority. Requests of all
other services pass unchanged.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from collections.abc import Collection, Iterable
from functools import singledispatchmethod

import attrs

from fordhatch.catalog import BackendServer, Configuration, EngineProfile, ModelKey
from fordhatch.core import (
    Failure,
    Ran,
    ResultCode,
    TaskSet,
    Timer,
    log_event,
    metrics,
)
from fordhatch.registry import ActiveConfiguration
from fordhatch.scheduling import (
    Decision,
    ModelAdmission,
    ModelCapacity,
    RefusalReason,
    Refuse,
    ReturningCallers,
    Send,
    Ticket,
    UrgencyClasses,
    queue_fraction,
    stream_patience_s,
)

from ._request import ServedRequest
from .groups import ModelLoad, RequestSample, group_wait
from .load import MAX_PROMPT_RATIO, MemoryNeed

REVIEW_INTERVAL_S = 0.05
"""Interval at which waiting requests are decided on again, in seconds: a fifth of the
shortest latency objective. Totals of other nodes come every 0.2 s."""

BUSY_SMOOTHING = 0.05
"""Weight of the newest request in the average of the time that one occupies a group."""

MAX_LINES_PER_S = 5
"""Most ``admission_decided`` lines of a node per second."""

_OUT_OF_TIME = Refuse(0.0, RefusalReason.WAITED)


@attrs.define(eq=False, repr=False)
class HeldRequest(Ticket):
    """A request under admission control, from its arrival to its end."""

    request: ServedRequest = attrs.field(kw_only=True)
    profile: EngineProfile = attrs.field(kw_only=True)
    settled: asyncio.Future[Send | Refuse] = attrs.field(kw_only=True)


@attrs.define(eq=False, repr=False)
class _ModelState:
    admission: ModelAdmission = attrs.field(factory=ModelAdmission)
    active: set[HeldRequest] = attrs.field(factory=set)
    """Requests from their arrival to their end."""
    busy_s: float = 0.0
    """Moving average of the time that a request occupies a full group."""


@attrs.define(eq=False, repr=False)
class _LineBudget:
    """Limits the log lines within any one second."""

    lines_s: deque[float] = attrs.field(factory=deque)
    """Times of the last second's lines, in monotonic seconds."""
    left_out: int = 0
    """Lines that were left out since the last one."""

    def take(self, now_s: float) -> bool:
        """Return whether a line may be written."""
        while self.lines_s and self.lines_s[0] < now_s - 1.0:
            self.lines_s.popleft()
        if len(self.lines_s) >= MAX_LINES_PER_S:
            self.left_out += 1
            return False
        self.lines_s.append(now_s)
        return True


@attrs.define(eq=False, repr=False)
class AdmissionControl:
    """Holds and refuses requests for models whose capacity is scarce."""

    timer: Timer
    configuration: ActiveConfiguration
    load: ModelLoad
    _seen: Configuration | None = None
    """The configuration that the classes were computed from."""
    _classes: dict[str, UrgencyClasses] = attrs.field(factory=dict)
    """Classes of the services that call for admission control."""
    _states: dict[ModelKey, _ModelState] = attrs.field(factory=dict)
    _held: dict[ServedRequest, HeldRequest] = attrs.field(factory=dict)
    _returning: dict[str, ReturningCallers] = attrs.field(factory=dict)
    """Deadlines of callers by route."""
    _lines: _LineBudget = attrs.field(factory=_LineBudget)
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _reviewer: asyncio.Task[object] | None = None
    """Decides again while any request waits."""

    def _urgency_classes(self, service: str) -> UrgencyClasses | None:
        current = self.configuration.current
        if current is not None and current is not self._seen:
            self._seen = current
            self._classes = {
                name: UrgencyClasses.from_urgencies(current.urgencies(name))
                for name in current.services
                if current.has_urgency_classes(name)
            }
        return self._classes.get(service)

    # One request.

    async def admit(
        self, request: ServedRequest, profile: EngineProfile
    ) -> Failure | None:
        """Wait until a request may be sent, and return why it is refused, or None.

        A stream that its caller resumes is not held. ``forget`` must be called at the
        end of every request.
        """
        classes = self._urgency_classes(request.service)
        if classes is None or request.fields.last_event_id:
            return None
        if profile.model(request.fields.model) is None:
            return None
        held = self._hold(request, profile, classes)
        key = request.service, request.fields.model
        state = self._states.setdefault(key, _ModelState(busy_s=held.busy_s))
        state.busy_s += BUSY_SMOOTHING * (held.busy_s - state.busy_s)
        self._held[request] = held
        state.active.add(held)
        capacity, scale = self._capacity(state, key, profile)
        now_s = self.timer.now_s()
        pushed = state.admission.arrive(held, capacity, 1.0 / scale, now_s)
        for other, refusal in pushed:
            # Its caller may have disconnected, which cancels the future.
            if not other.settled.done():
                other.settled.set_result(refusal)
        request.urgency_class = classes.wire_class(
            held.rank, is_over_share=held.is_over_share
        )
        self._review(key)
        waits = not held.settled.done()
        if waits:
            decision = await self._wait(key, held)
        else:
            decision = held.settled.result()
        return self._conclude(decision, key, held, waited=waits)

    def _hold(
        self, request: ServedRequest, profile: EngineProfile, classes: UrgencyClasses
    ) -> HeldRequest:
        fields, route = request.fields, request.route
        model = profile.model(fields.model)
        prompt_tokens = float(fields.prompt_tokens)
        if profile.usual_prompt_tokens > 0:
            limit_tokens = MAX_PROMPT_RATIO * profile.usual_prompt_tokens
            prompt_tokens = min(prompt_tokens, limit_tokens)
        # A request can't generate more than its own maximum.
        lengths = (profile.usual_answer_tokens, float(fields.max_output_tokens))
        answer_tokens = min((n for n in lengths if n > 0), default=0.0)
        callers = self._returning.setdefault(route.name, ReturningCallers())
        patience_s = stream_patience_s(route.goal_s, route.max_gap_s)
        first_s = profile.prefill_s(prompt_tokens) + profile.pass_s(profile.slots)
        return HeldRequest(
            rank=classes.rank(request.urgency),
            ranks=classes.ranks,
            workspace=request.workspace.name if request.workspace else "",
            goal_s=route.goal_s,
            arrived_s=request.arrived_s,
            give_up_s=min(request.arrived_s + patience_s, request.due_s),
            due_s=request.due_s,
            first_s=model.pace * first_s,
            busy_s=profile.busy_s(model, prompt_tokens, answer_tokens),
            is_returning=callers.record(fields.deadline_s),
            request=request,
            profile=profile,
            settled=asyncio.get_running_loop().create_future(),
        )

    async def _wait(self, key: ModelKey, held: HeldRequest) -> Send | Refuse:
        gauge = metrics.ADMISSION_WAITING.labels(key[1])
        gauge.inc()
        if self._reviewer is None or self._reviewer.done():
            self._reviewer = self._tasks.spawn(
                self._review_while_waiting(), "admission review"
            )
        try:
            left_s = max(held.due_s - self.timer.now_s(), 0.0)
            done, _ = await asyncio.wait([held.settled], timeout=left_s)
            return held.settled.result() if done else _OUT_OF_TIME
        finally:
            gauge.dec()
            waited_s = self.timer.now_s() - held.arrived_s
            metrics.ADMISSION_HELD_SECONDS.labels(key[1]).observe(waited_s)

    async def _review_while_waiting(self) -> None:
        while any(len(state.admission.line) for state in self._states.values()):
            await self.timer.sleep(REVIEW_INTERVAL_S)
            for key in list(self._states):
                self._review(key)

    def forget(self, request: ServedRequest) -> None:
        """Forget a request that has ended or whose caller has disconnected."""
        held = self._held.pop(request, None)
        if held is None:
            return
        key = request.service, request.fields.model
        state = self._states[key]
        state.active.discard(held)
        state.admission.leave(held)
        self._review(key)

    # Decisions.

    def _review(self, key: ModelKey) -> None:
        """Decide on the requests that wait for a model."""
        state = self._states[key]
        first = next(iter(state.admission.line), None)
        if first is None:
            return
        capacity, scale = self._capacity(state, key, first.profile)
        decided = state.admission.review(capacity, scale, self.timer.now_s())
        for held, decision in decided:
            if not held.settled.done():
                held.settled.set_result(decision)

    def _capacity(
        self, state: _ModelState, key: ModelKey, profile: EngineProfile
    ) -> tuple[ModelCapacity, float]:
        """Return the capacity of a model, and the scale of this node's requests."""
        sent = [h for h in state.active if h.request.timeline.sent_s is not None]
        state.admission.granted.difference_update(sent)
        queued = Counter(h.level for h in sent if h.request.timeline.first_s is None)
        arrivals_per_s = state.admission.arrivals_per_s(self.timer.now_s())
        sample = RequestSample(state.busy_s, queued, arrivals_per_s)
        return self.load.capacity(*key, profile, sample)

    def choose(
        self, request: ServedRequest, tried: Collection[str], need: MemoryNeed
    ) -> BackendServer | None:
        """Return the head that should run a request next, or None.

        Args:
            request: The request.
            tried: Heads that have already failed it.
            need: Memory that it needs at a group.
        """
        choose = self.load.choice.choose
        held = self._held.get(request)
        model = request.fields.model
        if held is None or not self.load.is_recent():
            return choose(request.service, model, tried, need)
        full = self._full_heads(held)
        others = [*tried, *full]
        head = choose(request.service, model, others, need) if full else None
        return head or choose(request.service, model, tried, need)

    def _full_heads(self, held: HeldRequest) -> list[str]:
        """Return the heads whose queue has no room for a request."""
        fraction = queue_fraction(held.level, held.ranks)
        key = held.request.service, held.request.fields.model
        busy_s = self._states[key].busy_s
        heads = self.load.heads(*key)
        return [
            head.backend_id
            for head in heads
            if self.load.group(head, held.profile).room(fraction, busy_s) < 1.0
        ]

    # Outcomes.

    @singledispatchmethod
    def _conclude(
        self, decision: Decision, key: ModelKey, held: HeldRequest, *, waited: bool
    ) -> Failure | None:
        raise TypeError(decision)

    @_conclude.register
    def _(
        self, decision: Send, key: ModelKey, held: HeldRequest, *, waited: bool
    ) -> Failure | None:
        if waited:
            self._log(decision, key, held, outcome="sent")
        return None

    @_conclude.register
    def _(
        self, decision: Refuse, key: ModelKey, held: HeldRequest, *, waited: bool
    ) -> Failure | None:
        retry_after_s = self._retry_after_s(decision.expected_s, key, held)
        metrics.ADMISSION_REFUSED.labels(key[1], decision.reason.value).inc()
        self._log(
            decision,
            key,
            held,
            outcome="refused",
            reason=decision.reason.value,
            retry_s=round(retry_after_s, 3),
        )
        is_open = decision.reason is not RefusalReason.NOTHING_OPEN
        code = ResultCode.OVERLOADED if is_open else ResultCode.NO_GROUP_READY
        return Failure.from_code(code, ran=Ran.NO, retry_after_s=retry_after_s)

    def retry_after_s(self, request: ServedRequest) -> float | None:
        """Return when to retry a request that every group refused, in seconds.

        None for services without admission control.
        """
        held = self._held.get(request)
        if held is None:
            return None
        key = request.service, request.fields.model
        capacity, _ = self._capacity(self._states[key], key, held.profile)
        expected_s = capacity.first_event_s(held.level, held.first_s)
        return self._retry_after_s(expected_s, key, held)

    def _retry_after_s(
        self, expected_s: float, key: ModelKey, held: HeldRequest
    ) -> float:
        state = self._states[key]
        capacity, scale = self._capacity(state, key, held.profile)
        if not capacity.serves and math.isinf(expected_s):
            backends = self.load.directory.of_service(key[0])
            expected_s = held.give_up_s - held.arrived_s
            expected_s += group_wait(backends, held.profile, key[1]).retry_after_s
        return state.admission.retry_after_s(
            held,
            expected_s,
            capacity.requests_per_s / scale,
            self.timer.rng.random(),
            self.timer.now_s(),
        )

    def _log(
        self, decision: Decision, key: ModelKey, held: HeldRequest, **fields: object
    ) -> None:
        now_s = self.timer.now_s()
        if not self._lines.take(now_s):
            return
        state = self._states[key]
        capacity, _ = self._capacity(state, key, held.profile)
        age_s = self.load.shared.age_s()
        log_event(
            "admission_decided",
            request=held.request.fields.request_id,
            route=held.request.route.name,
            model=key[1],
            workspace=held.workspace,
            urgency=held.request.urgency,
            over_share=held.is_over_share,
            returning=held.is_returning,
            **fields,
            held_s=round(now_s - held.arrived_s, 3),
            expected_s=_finite(decision.expected_s),
            patience_s=round(held.give_up_s - held.arrived_s, 3),
            groups=len(capacity.groups),
            opening=len(capacity.opening),
            slots=sum(group.slots for group in capacity.groups),
            in_flight=round(sum(group.in_flight for group in capacity.groups), 1),
            age_s=_finite(age_s),
            waiting=len(state.admission.line),
            ahead=_summary(held.ahead.most_common(3)),
            left_out=self._lines.left_out,
        )
        self._lines.left_out = 0

    async def close(self) -> None:
        """Cancel background tasks."""
        await self._tasks.close()


def _finite(value: float) -> float | str:
    """Return a rounded value, or an empty string for infinity."""
    return round(value, 3) if math.isfinite(value) else ""


def _summary(counts: Iterable[tuple[str, int]]) -> str:
    return ",".join(f"{name}:{count}" for name, count in counts)
