"""Settings of one node, read once at start."""

from __future__ import annotations

import hashlib
import hmac

import attrs
from result import Err, Ok, Result

from fordhatch.core import ResultCode, structure

from ._schema import SETTINGS_SCHEMA, Mistake, parse_document


@attrs.frozen
class Address:
    """Where a node listens."""

    host: str
    port: int
    """0 takes any free port."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class Limits:
    """Bounds on what callers may ask for."""

    max_body_bytes: int = 2 * 1024 * 1024
    """Longest request body."""
    max_queued_per_group: int = 64
    """Requests that may wait for one group."""
    max_queue_wait_s: float = 1.5
    """Longest wait for a slot; whoever would wait longer is refused at once."""
    default_timeout_s: float = 60.0
    """Deadline of a request that names none."""
    max_timeout_s: float = 600.0
    """Longest deadline a caller may ask for."""
    retry_budget_ratio: float = 0.2
    """Retries per first attempt, over a sliding window."""
    claim_expiry_s: float = 86400.0
    """How long an idempotency key is remembered."""
    max_stored_answer_bytes: int = 16 * 1024
    """Longer answers go to the object store instead of the claim row."""


@attrs.frozen
class Timing:
    """Intervals and time limits between the nodes and towards the platform."""

    ping_interval_s: float = 1.0
    """Time between failure detection pings."""
    suspect_s: float = 3.0
    """How long a silent node stays suspect before it counts as dead."""
    probe_interval_s: float = 1.0
    """Time between probes of a group's members."""
    permit_s: float = 2.5
    """How long a permit lasts after the probe that proved it was sent."""
    store_poll_interval_s: float = 3.0
    """Time between reads of the head rows."""
    plan_interval_s: float = 0.5
    """Time between passes of the planner."""
    planner_lease_s: float = 6.0
    """Time-to-live of the planner's lease."""
    confirm_s: float = 8.0
    """How long a configuration counts as confirmed by the store."""
    drain_grace_s: float = 5.0
    """How long a leaving node still takes new requests, for the balancer."""
    drain_limit_s: float = 600.0
    """Longest wait for streams in flight at shutdown."""


@attrs.frozen
class Settings:
    """Everything a node learns from its settings file."""

    node_id: str
    region: str
    zone: str
    callers: Address
    operators: Address
    peers: Address
    shared_key: str
    operator_tokens: dict[str, str]
    """SHA-256 of each operator's token, by the operator's name."""
    platform_url: str
    seeds: list[str] = attrs.field(factory=list)
    """Addresses of nodes to ask first."""
    limits: Limits = Limits()
    timing: Timing = Timing()

    @classmethod
    def from_json(cls, content: bytes) -> Result[Settings, list[Mistake]]:
        """Read settings.

        Args:
            content: Bytes of the settings file.

        Returns:
            The settings, or every mistake with its path.
        """
        parsed = parse_document(content, SETTINGS_SCHEMA)
        if parsed.is_err():
            return parsed
        settings = structure(parsed.unwrap(), cls)
        mistakes = _contradictions(settings)
        return Err(mistakes) if mistakes else Ok(settings)

    def operator_of(self, token: str) -> str | None:
        """Return whose token this is, in time that does not depend on it."""
        digest = hash_key(token)
        found = None
        for name, expected in self.operator_tokens.items():
            if hmac.compare_digest(digest, expected):
                found = name
        return found


def _contradictions(settings: Settings) -> list[Mistake]:
    timing, limits = settings.timing, settings.limits
    mistakes = []
    if timing.permit_s <= timing.probe_interval_s:
        mistakes.append(_invalid("$.timing.permit_s", "must exceed probe_interval_s"))
    if timing.planner_lease_s < 4 * timing.plan_interval_s:
        mistakes.append(
            _invalid("$.timing.planner_lease_s", "must be at least 4 plan intervals")
        )
    if limits.default_timeout_s > limits.max_timeout_s:
        mistakes.append(
            _invalid("$.limits.default_timeout_s", "must not exceed max_timeout_s")
        )
    return mistakes


def _invalid(path: str, message: str) -> Mistake:
    return Mistake(path, ResultCode.SETTING_INVALID, message)


def hash_key(secret: str) -> str:
    """Return the form in which API keys and tokens are stored."""
    return "sha256:" + hashlib.sha256(secret.encode()).hexdigest()
