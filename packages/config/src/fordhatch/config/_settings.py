"""Settings of one node, read once at start."""

from __future__ import annotations

import hashlib
import hmac

import attrs
from result import Err, Ok, Result

from fordhatch.catalog import NodeSettings, StoreLimits, SystemBounds
from fordhatch.core import ResultCode

from ._schema import SETTINGS_SCHEMA, Mistake, parse_document
from ._structure import structure

HEARTBEAT_S = 1.2
"""Interval of the backend servers' heartbeats, the same as on the users' platform."""

LINK_MBPS = 1000.0
"""Link rate of a node in Mbit/s; all nodes of a deployment are assumed to be alike."""

LOAD_WINDOW_S = 5.0
"""Window over which loads of weights are counted."""

LATE_FORWARDING_S = 0.2
"""An event that takes longer than this to pass through a node counts as late."""


@attrs.frozen
class Address:
    """Address on which a node listens."""

    host: str
    port: int
    """0 selects any free port."""

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class Limits:
    """Limits on callers' requests and on rows of the store."""

    max_body_bytes: int = 2 * 1024 * 1024
    """Maximal size of a request body."""
    default_timeout_s: float = 60.0
    """Timeout of a request that sets none."""
    max_timeout_s: float = 600.0
    """Longest timeout that a caller may request."""
    claim_expiry_s: float = 86400.0
    """Time for which an idempotency key is kept."""
    row_bytes: int = 65536
    """Maximal size of a row's value in the store."""


@attrs.frozen
class Retries:
    """The retry budget of all nodes together."""

    ratio: float = 0.2
    """Retries allowed per request."""
    slack: float = 100.0
    """Retries allowed in each window in addition to the ratio."""
    window_s: float = 10.0


@attrs.frozen
class Timing:
    """Time limits that apply to the system as a whole."""

    config_apply_s: float = 8.0
    """An accepted file is active on every node within this time, as the users' plan
    requires; a removed API key is refused everywhere within it as well."""
    outage_s: float = 120.0
    """How long a node that cannot confirm its configuration goes on serving beyond
    ``config_apply_s``: long outages of the store must not stop the service."""
    drain_s: float = 3.0
    """A backend server that leaves gets no new requests after this time."""
    stall_s: float = 5.0
    """Work of a group that has lost a member stalls for this time, then fails."""
    drain_grace_s: float = 5.0
    """How long a leaving node still accepts new requests, so that the load balancer
    can remove it."""
    drain_limit_s: float = 600.0
    """Longest wait for streams in flight at shutdown."""


@attrs.frozen
class Settings:
    """All settings of a node, as read from its settings file."""

    node_name: str
    region: str
    zone: str
    callers: Address
    operators: Address
    peers: Address
    store: Address
    operator_tokens: dict[str, str]
    """SHA-256 of each operator's token, by the operator's name."""
    limits: Limits = Limits()
    retries: Retries = Retries()
    timing: Timing = Timing()

    @classmethod
    def from_json(cls, content: bytes) -> Result[Settings, list[Mistake]]:
        """Read settings.

        Args:
            content: Bytes of the settings file.

        Returns:
            The settings, or all mistakes with their paths.
        """
        parsed = parse_document(content, SETTINGS_SCHEMA)
        if parsed.is_err():
            return parsed
        settings = structure(parsed.unwrap(), cls)
        mistakes = _contradictions(settings)
        return Err(mistakes) if mistakes else Ok(settings)

    def to_node_settings(self) -> NodeSettings:
        """Return the settings in the form that the common parts of a node use."""
        return NodeSettings(
            node_name=self.node_name,
            zone=self.zone,
            region=self.region,
            instance_address=self.callers.host,
            caller_address=str(self.callers),
            ready_address=str(self.callers),
            peer_address=str(self.peers),
            # Loads count against the limit from the start: none are free here.
            is_first_start=False,
            heartbeat_s=HEARTBEAT_S,
            memory_mb=0.0,
            max_descriptors=0,
            cores=1.0,
            link_mbps=LINK_MBPS,
            bounds=self._bounds(),
            store=StoreLimits(str(self.store), 0.0, 0.0, self.limits.row_bytes, 0.0),
        )

    def _bounds(self) -> SystemBounds:
        timing, retries = self.timing, self.retries
        return SystemBounds(
            stable_s=timing.drain_s,
            drain_s=timing.drain_s,
            grace_s=timing.drain_limit_s,
            config_apply_s=timing.config_apply_s,
            outer_s=timing.outage_s,
            is_revocation_strict=False,
            revoke_s=timing.config_apply_s,
            retry_budget_ratio=retries.ratio,
            retry_window_s=retries.window_s,
            retry_slack=retries.slack,
            stall_s=timing.stall_s,
            is_fence_required=False,
            load_window_s=LOAD_WINDOW_S,
            load_over=1.0,
            pass_on_s=LATE_FORWARDING_S,
        )

    def operator_of(self, token: str) -> str | None:
        """Return the operator that a token belongs to, or None.

        The time taken does not depend on the token, so that it reveals nothing.
        """
        digest = hash_key(token)
        found = None
        for name, expected in self.operator_tokens.items():
            if hmac.compare_digest(digest, expected):
                found = name
        return found


def _contradictions(settings: Settings) -> list[Mistake]:
    timing, limits = settings.timing, settings.limits
    mistakes = []
    if limits.default_timeout_s > limits.max_timeout_s:
        mistakes.append(
            _invalid("$.limits.default_timeout_s", "must not exceed max_timeout_s")
        )
    if timing.drain_grace_s >= timing.drain_limit_s:
        mistakes.append(
            _invalid("$.timing.drain_grace_s", "must be below drain_limit_s")
        )
    return mistakes


def _invalid(path: str, message: str) -> Mistake:
    return Mistake(path, ResultCode.SETTING_INVALID, message)


def hash_key(secret: str) -> str:
    """Return the hash in whose form API keys and tokens are stored."""
    return "sha256:" + hashlib.sha256(secret.encode()).hexdigest()
