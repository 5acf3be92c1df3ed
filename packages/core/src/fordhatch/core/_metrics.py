"""Every Prometheus metric of the daemon, defined in one place."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client import generate_latest as _generate_latest

REGISTRY = CollectorRegistry()
"""The registry behind ``/metrics``."""

REQUESTS = Counter(
    "fordhatch_requests_total",
    "Callers' requests by final result code.",
    ["service", "code"],
    registry=REGISTRY,
)
FIRST_TOKEN_SECONDS = Histogram(
    "fordhatch_first_token_seconds",
    "Time from a request's arrival to its first token.",
    ["service"],
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5.0, 10.0),
    registry=REGISTRY,
)
TOKENS = Counter(
    "fordhatch_tokens_total",
    "Tokens passed on to callers.",
    ["service"],
    registry=REGISTRY,
)
ANSWERS = Counter(
    "fordhatch_answers_total",
    "Answers to callers by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
ANSWER_SECONDS = Histogram(
    "fordhatch_answer_seconds",
    "Time from a request's arrival to the end of its answer.",
    ["kind"],
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0),
    registry=REGISTRY,
)
FIRST_EVENT_SECONDS = Histogram(
    "fordhatch_first_event_seconds",
    "Time from a request's arrival to the first event of its stream.",
    buckets=(0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0),
    registry=REGISTRY,
)
REPEATS = Counter(
    "fordhatch_repeats_total",
    "Sends beyond the first of a request: sent, or refused for want of budget.",
    ["outcome"],
    registry=REGISTRY,
)
CONFIGURATION_AGE_SECONDS = Gauge(
    "fordhatch_configuration_age_seconds",
    "Age of the last confirmation of the configuration.",
    registry=REGISTRY,
)
CONFIGURATION_VERSION = Gauge(
    "fordhatch_configuration_version",
    "Version of the configuration in force.",
    registry=REGISTRY,
)
OPEN_GROUPS = Gauge(
    "fordhatch_open_groups",
    "Groups that take requests, as this node sees them.",
    registry=REGISTRY,
)
STRANDED_BACKENDS = Gauge(
    "fordhatch_stranded_backends",
    "Backend servers of engines that are in no group, as this node sees them.",
    registry=REGISTRY,
)
GROUP_FORMING_SECONDS = Histogram(
    "fordhatch_group_forming_seconds",
    "Time from the planner's decision to form a group until it serves.",
    buckets=(0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0, 40.0),
    registry=REGISTRY,
)
IN_FLIGHT = Gauge(
    "fordhatch_requests_in_flight", "Callers' requests now open.", registry=REGISTRY
)
ATTEMPTS = Counter(
    "fordhatch_attempts_total",
    "Dispatches to backend servers by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
CLAIMS = Counter(
    "fordhatch_claims_total",
    "Claims of idempotency keys by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
STORE_OPERATIONS = Counter(
    "fordhatch_store_operations_total",
    "Operations on the platform's store by kind and outcome.",
    ["kind", "outcome"],
    registry=REGISTRY,
)
PEER_MESSAGES = Counter(
    "fordhatch_peer_messages_total",
    "Messages between nodes by direction and type.",
    ["direction", "type"],
    registry=REGISTRY,
)
PEER_BYTES = Counter(
    "fordhatch_peer_bytes_total",
    "Bytes between nodes by direction.",
    ["direction"],
    registry=REGISTRY,
)
FRAMES_REFUSED = Counter(
    "fordhatch_frames_refused_total",
    "Frames from other nodes that were malformed or not authenticated.",
    ["reason"],
    registry=REGISTRY,
)
CONFIG_REVISION = Gauge(
    "fordhatch_config_revision", "Configuration revision in force.", registry=REGISTRY
)
NODES_ALIVE = Gauge(
    "fordhatch_nodes_alive", "Nodes seen alive, this one included.", registry=REGISTRY
)
PERMITS = Gauge(
    "fordhatch_permits", "Groups this node may serve now.", registry=REGISTRY
)
PROBES = Counter(
    "fordhatch_probes_total",
    "Probes of backend servers by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
GROUP_DOWNTIME_SECONDS = Counter(
    "fordhatch_group_downtime_seconds_total",
    "Seconds that declared groups were not serving, summed over groups.",
    ["service"],
    registry=REGISTRY,
)
STRANDED_ACCELERATOR_SECONDS = Counter(
    "fordhatch_stranded_accelerator_seconds_total",
    "Seconds that healthy accelerators sat in no serving group.",
    registry=REGISTRY,
)
PLANNER_LEADER = Gauge(
    "fordhatch_planner_leader",
    "1 while this node plans for its region.",
    registry=REGISTRY,
)
ORDERS = Counter(
    "fordhatch_orders_total",
    "Orders sent to engines by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
INVARIANT_VIOLATIONS = Counter(
    "fordhatch_invariant_violations_total",
    "Violated invariants by name.",
    ["invariant"],
    registry=REGISTRY,
)


def render_metrics() -> bytes:
    """Return the text exposition of every metric."""
    return _generate_latest(REGISTRY)
