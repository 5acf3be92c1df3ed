"""Data classes of a node's settings, independent of the platform's format."""

from __future__ import annotations

import attrs


@attrs.frozen
class SystemBounds:
    """Time limits and ratios that all nodes of the system must respect."""

    stable_s: float
    """An instance counts as healthy after this long without a fault."""
    drain_s: float
    """Time after which a leaving backend server receives no more requests."""
    grace_s: float
    """Time between the stop signal and the kill signal."""
    config_apply_s: float
    """Time within which an accepted configuration is in effect on all nodes."""
    outer_s: float
    """Maximum time that a fault of the store adds to ``config_apply_s``."""
    is_revocation_strict: bool
    revoke_s: float
    """Time within which a removed API key is rejected on all nodes."""
    retry_budget_ratio: float
    """Retries allowed per request, over all nodes."""
    retry_window_s: float
    retry_slack: float
    """Retries allowed in each window in addition to the ratio, over all nodes."""
    stall_s: float
    """Time that the work of a group with a lost member stalls before it fails."""
    is_fence_required: bool
    load_window_s: float
    load_over: float
    """Factor by which the load rate may be exceeded within a window."""
    pass_on_s: float
    """Maximum time that a node may take to forward an event of a stream."""
    evacuate_s: float = 5.0
    """Time within which an evacuated zone gets no more requests from any node."""
    cold_overrun: float = 1.5
    cold_slack: float = 5.0
    """In any one second a cold backend server may receive ``cold_overrun`` times the
    requests that it tolerates, plus ``cold_slack``."""


@attrs.frozen
class StoreLimits:
    """Address and limits of the platform's store."""

    address: str
    writes_per_s: float
    reads_per_s: float
    row_bytes: int
    history_s: float


@attrs.frozen
class NodeSettings:
    """All settings that a node receives at its start."""

    node_name: str
    zone: str
    region: str
    instance_address: str
    caller_address: str
    ready_address: str
    peer_address: str
    """Address for connections from other nodes, ``host:port``."""
    is_first_start: bool
    """Whether the system starts for the first time."""
    heartbeat_s: float
    """Interval between the heartbeats of a backend server."""
    memory_mb: float
    max_descriptors: int
    cores: float
    """Processor cores available to the node."""
    link_mbps: float
    """Bandwidth of its network link, in megabits per second."""
    bounds: SystemBounds
    store: StoreLimits
