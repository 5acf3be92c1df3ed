"""The settings that a node gets from the platform, in the project's own terms."""

from __future__ import annotations

import attrs


@attrs.frozen
class SystemBounds:
    """Times and ratios that the whole system keeps to."""

    stable_s: float
    """After this long without trouble an instance counts as healthy."""
    drain_s: float
    """A backend server that leaves gets no request later than this."""
    grace_s: float
    """Time between the signal to stop and the kill."""
    config_apply_s: float
    """An accepted configuration is in force everywhere within this time."""
    outer_s: float
    """The most that trouble of the store adds to ``config_apply_s``."""
    is_revocation_strict: bool
    revoke_s: float
    """A removed API key is refused everywhere within this time."""
    retry_budget_ratio: float
    """Repeats allowed for each request, over all nodes."""
    retry_window_s: float
    retry_slack: float
    """Repeats allowed besides the ratio in each window, over all nodes."""
    stall_s: float
    """Work of a group that lost a member stands still this long, then breaks."""
    is_fence_required: bool
    load_window_s: float
    load_over: float
    """Factor on the rate of loads that is still tolerated in a window."""
    pass_on_s: float
    """An event of a stream is late when it takes longer than this through a node."""


@attrs.frozen
class StoreLimits:
    """Where the platform's store is and what it allows."""

    address: str
    writes_per_s: float
    reads_per_s: float
    row_bytes: int
    history_s: float


@attrs.frozen
class NodeSettings:
    """Everything that a node learns at its start."""

    node_name: str
    zone: str
    region: str
    instance_address: str
    caller_address: str
    ready_address: str
    peer_address: str
    """Where other nodes reach this one, ``host:port``."""
    is_first_start: bool
    """Whether the whole system starts for the first time."""
    heartbeat_s: float
    """Time between the heartbeats of backend servers."""
    memory_mb: float
    max_descriptors: int
    cores: float
    """Processor cores that the node may use."""
    link_mbps: float
    """Rate of its link, in megabits a second."""
    bounds: SystemBounds
    store: StoreLimits
