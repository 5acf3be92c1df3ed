"""Typed messages between nodes.

Each message class has a tag, a number that never changes.
"""

from __future__ import annotations

import attrs

from ._budget_messages import BorrowRetries
from ._message_fields import FieldError, message, seconds_field, typed_field
from ._relay_messages import ProbeBackend, QueryContact

PROTOCOL_VERSION = 6
"""Incremented when a message changes in a way that older nodes cannot decode."""

VersionPair = list[int]
"""A version of the store: its generation and its counter within that generation.

The store gets a new generation when it is restored from a backup.
"""


def _is_version(value: object) -> bool:
    return type(value) is list and [type(number) for number in value] == [int, int]


def _version(_: object, attribute: attrs.Attribute, value: object) -> None:
    if not _is_version(value):
        raise FieldError(f"{attribute.name}: expected a generation and a number")


def _versions(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not dict:
        raise FieldError(f"{attribute.name}: expected a map")
    for key, version in value.items():
        if type(key) is not str or not _is_version(version):
            raise FieldError(f"{attribute.name}: unexpected entry")


@message(1)
@attrs.frozen
class Hello:
    """First frame of each side: protocol version, node name and nonce."""

    version: int = typed_field(int)
    node_name: str = typed_field(str)
    nonce: bytes = typed_field(bytes)


@message(2)
@attrs.frozen
class Proof:
    """Proves knowledge of the shared key for both nonces."""

    mac: bytes = typed_field(bytes)


@message(3)
@attrs.frozen
class Close:
    """Closes a channel; a request in progress is cancelled."""


@message(4)
@attrs.frozen
class Refused:
    """Reports a failed request; mirrors ``fordhatch.core.Failure``."""

    code: int = typed_field(int)
    text: str = typed_field(str)
    ran: str = typed_field(str)
    retry_after_s: float | None = seconds_field(default=None)


@message(50)
@attrs.frozen
class QueryStatus:
    """Requests the status of a node."""


@message(51)
@attrs.frozen
class StatusReply:
    """Status of a node, in particular which configuration is in effect there."""

    node_name: str = typed_field(str)
    start_id: str = typed_field(str)
    """Identifies this start of the node."""
    configuration_version: int = typed_field(int)
    is_ready: bool = typed_field(bool)
    is_planner: bool = typed_field(bool)
    lease_version: VersionPair = attrs.field(validator=_version)
    """Version of the planner's lease that the node knows."""
    configuration_age_s: float = seconds_field()
    """Age of the store query that last confirmed the configuration, in seconds."""


@message(62)
@attrs.frozen
class WatchTables:
    """Requests changes of the store's tables from a node that follows them."""

    after_versions: dict[str, VersionPair] = attrs.field(validator=_versions)
    """By table: the version after which changes are requested.

    -1 for both numbers requests the complete table.
    """
    wait_s: float = seconds_field()
    """Maximum time that the answer may wait for a change, in seconds."""
    as_first: bool = typed_field(bool)
    """Whether the node is queried as the one that reads the store for all nodes."""


@message(61)
@attrs.frozen
class TableChanges:
    """Changed rows of a table, or the complete table."""

    table: str = typed_field(str)
    version: VersionPair = attrs.field(validator=_version)
    """The rows include every change up to this version."""
    age_s: float = seconds_field()
    """Age of the store query that confirmed this version, when the message is sent."""
    steady_s: float = seconds_field()
    """How long before that query the store had answered without an outage."""
    is_whole: bool = typed_field(bool)
    """Whether the rows are the complete table and not only the changes."""
    rows: bytes = typed_field(bytes)
    """Rows serialized by ``pack_rows``."""


def _to_changes(values: object) -> object:
    """Convert each table's changes, which msgpack decodes as lists of fields."""
    if not isinstance(values, list):
        return values
    return [v if isinstance(v, TableChanges) else TableChanges(*v) for v in values]


@message(63)
@attrs.frozen
class TablesChanged:
    """Changes of the requested tables; the answer to ``WatchTables``."""

    tables: list[TableChanges] = attrs.field(
        converter=_to_changes,
        validator=attrs.validators.deep_iterable(
            attrs.validators.instance_of(TableChanges),
            attrs.validators.instance_of(list),
        ),
    )


def _crashes(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list:
        raise FieldError(f"{attribute.name}: expected a list")
    for crash in value:
        if [type(field) for field in crash] != [str, str, int]:
            raise FieldError(f"{attribute.name}: unexpected entry")


@message(64)
@attrs.frozen
class CrashesSeen:
    """Notifies a node of backend servers that crashed while running a feature.

    A feature is what several requests may have in common: their whole content, as a
    caller's retries have, or a shared part of their prompts.
    """

    crashes: list[tuple[str, str, int]] = attrs.field(validator=_crashes)
    """Digest of the feature, backend server id, and stage of the run."""


@message(65)
@attrs.frozen
class CrashesNoted:
    """Acknowledges ``CrashesSeen``."""


MAX_DEMAND = 1e6
"""Maximum accepted demand of one node's callers, in requests per second or full groups.

Three orders of magnitude above the load of any node.
"""


def _demand(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list:
        raise FieldError(f"{attribute.name}: expected a list")
    for entry in value:
        if [type(field) for field in entry] != [str, str, float, float]:
            raise FieldError(f"{attribute.name}: unexpected entry")
        if not all(0.0 <= number <= MAX_DEMAND for number in entry[2:]):
            raise FieldError(f"{attribute.name}: expected 0 to {MAX_DEMAND:g}")


@message(66)
@attrs.frozen
class QueryDemand:
    """Requests the recent demand for each model from a node's callers."""


@message(67)
@attrs.frozen
class DemandReply:
    """Recent demand for each model from a node's callers."""

    models: list[tuple[str, str, float, float]] = attrs.field(validator=_demand)
    """Service, model, requests per second, and the full groups that these occupy."""


MAX_LIMIT_PER_S = 1e6
"""Maximum accepted rate limit of a backend server; above the rate of any."""

MAX_AGE_S = 1e6
"""Maximum accepted age or delay in a message."""


def _is_limit(limit_per_s: object) -> bool:
    if limit_per_s is None:
        return True
    return type(limit_per_s) is float and 0.0 <= limit_per_s <= MAX_LIMIT_PER_S


def _is_age(age_s: object) -> bool:
    return type(age_s) is float and 0.0 <= age_s <= MAX_AGE_S


def _limit(_: object, attribute: attrs.Attribute, value: object) -> None:
    if not _is_limit(value):
        raise FieldError(f"{attribute.name}: expected 0 to {MAX_LIMIT_PER_S:g}")


def _age(_: object, attribute: attrs.Attribute, value: object) -> None:
    if not _is_age(value):
        raise FieldError(f"{attribute.name}: expected 0 to {MAX_AGE_S:g}")


def _optional_age(_: object, attribute: attrs.Attribute, value: object) -> None:
    if value is not None:
        _age(_, attribute, value)


def _cold(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list:
        raise FieldError(f"{attribute.name}: expected a list")
    for backend_id, left_s, age_s in value:
        if type(backend_id) is not str or not (_is_age(left_s) and _is_age(age_s)):
            raise FieldError(f"{attribute.name}: unexpected entry")


def _limits(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list:
        raise FieldError(f"{attribute.name}: expected a list")
    for backend_id, limit_per_s, age_s in value:
        if type(backend_id) is not str or not _is_limit(limit_per_s):
            raise FieldError(f"{attribute.name}: unexpected entry")
        if not _is_age(age_s):
            raise FieldError(f"{attribute.name}: unexpected age")


def _string_list(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list or not all(type(text) is str for text in value):
        raise FieldError(f"{attribute.name}: expected a list of strings")


@message(68)
@attrs.frozen
class AskPermit:
    """Requests a permit to send a request to a rate-limited backend server."""

    backend_id: str = typed_field(str)
    limit_per_s: float = attrs.field(validator=_limit)
    """Requests per second of the limit that the requesting node knows."""
    age_s: float = attrs.field(validator=_age)
    """Age of the backend server's report of this limit, in seconds."""
    cold_left_s: float | None = attrs.field(default=None, validator=_optional_age)
    """Set if the limit applies because the backend server is cold: the time for which
    it was, when the report was made, in seconds."""


@message(69)
@attrs.frozen
class PermitReply:
    """Grants or denies the permit requested by ``AskPermit``."""

    is_granted: bool = typed_field(bool)
    again_s: float = attrs.field(validator=_age)
    """Time after which to request again when not granted, in seconds."""


@message(70)
@attrs.frozen
class PressureSeen:
    """Notifies a node of the backpressure signals in backend servers' answers."""

    limits: list[tuple[str, float | None, float]] = attrs.field(validator=_limits)
    """Backend server id, rate limit and age of the report in seconds.

    The limit is in requests per second from all nodes together; None where the backend
    server no longer reports a limit.
    """
    leaving: list[str] = attrs.field(validator=_string_list)
    """Ids of backend servers that are about to leave."""
    cold: list[tuple[str, float, float]] = attrs.field(factory=list, validator=_cold)
    """Backend server id, remaining cold time in an answer, and the answer's age, both
    in seconds."""


@message(71)
@attrs.frozen
class PressureNoted:
    """Acknowledges ``PressureSeen``."""


@message(72)
@attrs.frozen
class QueryPressure:
    """Requests the backpressure signals known to a node, as a ``PressureSeen``."""


LOAD_FIELDS = 3
"""Numbers of each backend server in a load message."""

MAX_LOAD_ENTRIES = 2048
"""Maximum accepted number of backend servers in a load message; twice the number of the
largest system."""

MAX_LOAD_KEY = 2**32 - 1
"""Maximum key of a backend server; keys are 32 bits long."""

MAX_REQUESTS = 10**6
"""Maximum accepted number of requests in flight; above those of any system."""

MAX_TOKENS = 10**12
"""Maximum accepted number of tokens of the requests in flight."""


def _loads(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list or len(value) > LOAD_FIELDS * MAX_LOAD_ENTRIES:
        raise FieldError(f"{attribute.name}: expected {MAX_LOAD_ENTRIES} or fewer")
    if len(value) % LOAD_FIELDS or not all(type(number) is int for number in value):
        raise FieldError(f"{attribute.name}: expected integers in threes")
    limits = ((0, MAX_LOAD_KEY), (1, MAX_REQUESTS), (0, MAX_TOKENS))
    for index, (least, most) in enumerate(limits):
        column = value[index::LOAD_FIELDS]
        if column and not least <= min(column) <= max(column) <= most:
            raise FieldError(f"{attribute.name}: expected {least} to {most}")


@message(73)
@attrs.frozen
class LoadReport:
    """Reports a node's requests in flight to the collector; answered by its totals."""

    loads: list[int] = attrs.field(validator=_loads)
    """Three numbers for each backend server that has requests of this node in flight:
    key of its id, requests, and their tokens."""


@message(74)
@attrs.frozen
class LoadTotals:
    """Totals of the requests in flight of all nodes but the one that asked."""

    is_collector: bool = typed_field(bool)
    """Whether this node collects; otherwise a better one replies to it."""
    is_complete: bool = typed_field(bool)
    """Whether every node has had the time to report; otherwise there are no totals."""
    age_s: float = attrs.field(validator=_age)
    """Mean age of the reports when the message is sent, in seconds."""
    loads: list[int] = attrs.field(validator=_loads)
    """Three numbers for each backend server, as in ``LoadReport``."""


SINGLE_ANSWER_REQUESTS = frozenset(
    {
        QueryStatus,
        QueryDemand,
        QueryPressure,
        WatchTables,
        CrashesSeen,
        PressureSeen,
        AskPermit,
        LoadReport,
        QueryContact,
        ProbeBackend,
        BorrowRetries,
    }
)
"""Requests with a single answer.

Neither side sends ``Close`` for them, which halves the frames between nodes.
"""
