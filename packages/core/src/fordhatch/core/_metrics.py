"""Definitions of all Prometheus metrics of the daemon."""

from __future__ import annotations

from functools import cache

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client import generate_latest as _generate_latest

REGISTRY = CollectorRegistry()
"""The registry behind ``/metrics``."""

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
HEDGES = Counter(
    "fordhatch_hedges_total",
    "Attempts begun beside one that was silent, and those that took over from it.",
    ["outcome"],
    registry=REGISTRY,
)
HELD_BYTES = Gauge(
    "fordhatch_held_bytes",
    "Bytes that the node holds for others, by kind: bodies of requests, answers, "
    "relayed requests, and buffers of connections to callers, nodes and the store.",
    ["kind"],
    registry=REGISTRY,
)
RETRY_BUDGET = Gauge(
    "fordhatch_retry_budget",
    "This node's part of the retry budget by service: retries spent (with those lent), "
    "left and borrowed, requests within the window, and its part of the slack.",
    ["service", "kind"],
    registry=REGISTRY,
)
RETRIES_LENT = Counter(
    "fordhatch_retries_lent_total",
    "Retries that this node has lent to other nodes or borrowed from them.",
    ["direction"],
    registry=REGISTRY,
)
BACKENDS_ENDED = Counter(
    "fordhatch_backends_ended_total",
    "Backend servers that ended while they ran requests of this node.",
    registry=REGISTRY,
)
QUARANTINED_CONTENTS = Gauge(
    "fordhatch_quarantined_contents",
    "Contents that are not run because backend servers have ended under them.",
    registry=REGISTRY,
)
QUARANTINED_PARTS = Gauge(
    "fordhatch_quarantined_parts",
    "Parts of prompts, alone or together, that are not run because backend servers have"
    " ended under them.",
    registry=REGISTRY,
)
BACKPRESSURE_UNREADABLE = Counter(
    "fordhatch_backpressure_unreadable_total",
    "Words of backend servers about their load that could not be read, by kind.",
    ["kind"],
    registry=REGISTRY,
)
BACKENDS_ASKING = Gauge(
    "fordhatch_backends_asking",
    "Backend servers that ask for a rest, a limit or to be left alone.",
    ["service", "kind"],
    registry=REGISTRY,
)
PERMITS = Counter(
    "fordhatch_permits_total",
    "Permits for requests to limited backend servers, by the outcome of asking.",
    ["outcome"],
    registry=REGISTRY,
)
SENDS_HELD = Counter(
    "fordhatch_sends_held_total",
    "Requests that had to wait for held backend servers or were refused, by kind.",
    ["kind", "outcome"],
    registry=REGISTRY,
)
SERVICES_OUT_OF_REACH = Gauge(
    "fordhatch_services_out_of_reach",
    "Whether this node reaches no backend server of a service (1) or does (0).",
    ["service"],
    registry=REGISTRY,
)
ANSWER_ENDS = Counter(
    "fordhatch_answer_ends_total",
    "Answers without a length that have ended, by what shows that they are complete.",
    ["evidence"],
    registry=REGISTRY,
)
INVALID_ANSWERS = Counter(
    "fordhatch_invalid_answers_total",
    "Answers refused by their head or framing, by the rule that they break.",
    ["rule"],
    registry=REGISTRY,
)
READS_BOUNDED = Counter(
    "fordhatch_reads_bounded_total",
    "Reads from callers, backend servers, the store or nodes that a bound has ended.",
    ["what"],
    registry=REGISTRY,
)
RELAYED_REQUESTS = Counter(
    "fordhatch_relayed_requests_total",
    "Attempts at backend servers through other nodes, by role and outcome.",
    ["role", "outcome"],
    registry=REGISTRY,
)
LOG_LINES = Counter(
    "fordhatch_log_lines_total",
    "Lines of the log by whether a request ends with them, and what became of them.",
    ["need", "outcome"],
    registry=REGISTRY,
)
NODE_READY = Gauge(
    "fordhatch_node_ready",
    "Whether this node last told the balancer that it takes callers (1) or not (0).",
    registry=REGISTRY,
)
BACKENDS_COLD = Gauge(
    "fordhatch_backends_cold",
    "Backend servers that are cold and tolerate few requests, as this node knows.",
    ["service"],
    registry=REGISTRY,
)
COLD_UNREADABLE = Counter(
    "fordhatch_cold_unreadable_total",
    "Malformed remaining cold times, in entries and in answers.",
    ["source"],
    registry=REGISTRY,
)
ADMISSION_WAITING = Gauge(
    "fordhatch_admission_waiting",
    "Requests that wait in this node for capacity of their model.",
    ["model"],
    registry=REGISTRY,
)
ADMISSION_HELD_SECONDS = Histogram(
    "fordhatch_admission_held_seconds",
    "Time that a request waited in the node for capacity of its model.",
    ["model"],
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0),
    registry=REGISTRY,
)
ADMISSION_REFUSED = Counter(
    "fordhatch_admission_refused_total",
    "Requests that were refused because their model has no capacity in time.",
    ["model", "reason"],
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
ZONES_EVACUATED = Gauge(
    "fordhatch_zones_evacuated",
    "Evacuated availability zones, as this node sees them.",
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
MODEL_BUSY_GROUPS = Gauge(
    "fordhatch_model_busy_groups",
    "Full groups that the work of a model's callers fills, as the planner sees it.",
    ["service", "model"],
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
CLAIMS = Counter(
    "fordhatch_claims_total",
    "Claims of idempotency keys by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
STORE_OPERATIONS = Counter(
    "fordhatch_store_operations_total",
    "Calls to the platform's store by HTTP method and status.",
    ["method", "status"],
    registry=REGISTRY,
)
STORE_GENERATIONS_UNREADABLE = Counter(
    "fordhatch_store_generations_unreadable_total",
    "Answers of the store whose generation could not be read.",
    registry=REGISTRY,
)
STORE_ROWS_WRITTEN_AGAIN = Counter(
    "fordhatch_store_rows_written_again_total",
    "Own rows that this node wrote again after a restored store had lost them.",
    registry=REGISTRY,
)
STORE_RETURNS = Counter(
    "fordhatch_store_returns_total",
    "Times that a table was found to have come back from a copy of the store.",
    ["table"],
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
PEER_BYTES_SENT = PEER_BYTES.labels("sent")
PEER_BYTES_RECEIVED = PEER_BYTES.labels("received")
LOAD_REPORTS_REFUSED = Counter(
    "fordhatch_load_reports_refused_total",
    "Reports of load from nodes that are not listed.",
    registry=REGISTRY,
)
LOAD_TOTALS_AGE_SECONDS = Gauge(
    "fordhatch_load_totals_age_seconds",
    "Age of the other nodes' load when it was last received.",
    registry=REGISTRY,
)
FRAMES_REFUSED = Counter(
    "fordhatch_frames_refused_total",
    "Frames from other nodes that were malformed or not authenticated.",
    ["reason"],
    registry=REGISTRY,
)
PLANNER_LEADER = Gauge(
    "fordhatch_planner_leader",
    "1 while this node plans for its region.",
    registry=REGISTRY,
)
BACKENDS_BELIEVED_LOST = Gauge(
    "fordhatch_backends_believed_lost",
    "Backend servers that did not answer the planner's last probe, on its node.",
    registry=REGISTRY,
)
PLANNER_LAG_SECONDS = Gauge(
    "fordhatch_planner_lag_seconds",
    "Longest delay of a step of the planner in the last seconds, on its node.",
    registry=REGISTRY,
)
ORDERS = Counter(
    "fordhatch_orders_total",
    "Orders sent to engines by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
SUSPENDED_SECONDS = Counter(
    "fordhatch_suspended_seconds_total",
    "Time for which the machine was suspended while this node ran on it.",
    registry=REGISTRY,
)
INVARIANT_VIOLATIONS = Counter(
    "fordhatch_invariant_violations_total",
    "Violated invariants by name.",
    ["invariant"],
    registry=REGISTRY,
)


@cache
def peer_messages(direction: str, kind: str) -> Counter:
    """Return the counter of messages of a direction and kind.

    Cached, because looking up the labelled counter costs more than incrementing it.
    """
    return PEER_MESSAGES.labels(direction, kind)


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return _generate_latest(REGISTRY)
