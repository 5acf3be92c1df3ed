"""Typed messages between nodes; each class has a number that never changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import attrs

PROTOCOL_VERSION = 5
"""Raised when a message changes in a way that older nodes cannot read."""

MESSAGE_BY_TAG: dict[int, type] = {}
"""Message class by number."""

TAG_BY_MESSAGE: dict[type, int] = {}
"""Number by message class."""

C = TypeVar("C", bound=type)


class FieldError(TypeError):
    """A field of a message has another type than it must have."""


def message(tag: int) -> Callable[[C], C]:
    """Register a message class under its number."""

    def register(cls: C) -> C:
        assert tag not in MESSAGE_BY_TAG, f"tag {tag} is taken"
        MESSAGE_BY_TAG[tag] = cls
        TAG_BY_MESSAGE[cls] = tag
        return cls

    return register


def _exactly(*kinds: type) -> Any:
    """Return a field that takes values of these very types."""

    def check(_: object, attribute: attrs.Attribute, value: object) -> None:
        if type(value) not in kinds:
            found = type(value).__name__
            raise FieldError(f"{attribute.name}: unexpected {found}")

    return attrs.field(validator=check)


def _number(value: object) -> object:
    return float(value) if type(value) is int else value


def _seconds(**options: Any) -> Any:
    """Return a field for a duration; whole numbers are taken as well."""

    def check(_: object, attribute: attrs.Attribute, value: object) -> None:
        if type(value) is not float and (value is not None or not options):
            raise FieldError(f"{attribute.name}: expected a number")

    return attrs.field(converter=_number, validator=check, **options)


VersionPair = list[int]
"""A version of the store: its generation, and its counter within that."""


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
    """First frame of each side: who speaks, which version, and a nonce."""

    version: int = _exactly(int)
    node_name: str = _exactly(str)
    nonce: bytes = _exactly(bytes)


@message(2)
@attrs.frozen
class Proof:
    """Proves knowledge of the shared key for both nonces."""

    mac: bytes = _exactly(bytes)


@message(3)
@attrs.frozen
class Close:
    """Ends a channel; on a request in progress it cancels the work."""


@message(4)
@attrs.frozen
class Refused:
    """A request failed; mirrors ``fordhatch.core.Failure``."""

    code: int = _exactly(int)
    text: str = _exactly(str)
    ran: str = _exactly(str)
    retry_after_s: float | None = _seconds(default=None)


@message(50)
@attrs.frozen
class QueryStatus:
    """Asks a node for what it has in force."""


@message(51)
@attrs.frozen
class StatusReply:
    """What a node has in force."""

    node_name: str = _exactly(str)
    start_id: str = _exactly(str)
    """Names this start of the node."""
    configuration_version: int = _exactly(int)
    is_ready: bool = _exactly(bool)
    is_planner: bool = _exactly(bool)
    lease_version: VersionPair = attrs.field(validator=_version)
    """Of the planner's lease, as the node knows it."""
    configuration_age_s: float = _seconds()
    """How long ago the store was asked that confirmed what the node has in force."""


@message(62)
@attrs.frozen
class WatchTables:
    """Asks a node for changes of tables of the store that it follows."""

    after_versions: dict[str, VersionPair] = attrs.field(validator=_versions)
    """By table: changes after this version; -1 twice asks for the whole table."""
    wait_s: float = _seconds()
    """How long the answer may wait for a change."""
    as_first: bool = _exactly(bool)
    """Whether the node is asked as the one that reads for the whole system."""


@message(61)
@attrs.frozen
class TableChanges:
    """Rows of a table that changed, or all of them."""

    table: str = _exactly(str)
    version: VersionPair = attrs.field(validator=_version)
    """Up to this version nothing else changed."""
    age_s: float = _seconds()
    """How long ago, at the sending of this, the store was asked that confirmed it."""
    steady_s: float = _seconds()
    """For how long before that the store had confirmed it without an outage."""
    is_whole: bool = _exactly(bool)
    """Whether these are all rows and not only those that changed."""
    rows: bytes = _exactly(bytes)
    """See ``pack_rows``."""


def _to_changes(values: object) -> object:
    """Return the changes of each table, whose fields come as lists."""
    if not isinstance(values, list):
        return values
    return [v if isinstance(v, TableChanges) else TableChanges(*v) for v in values]


@message(63)
@attrs.frozen
class TablesChanged:
    """What has changed in each of the tables that were asked for."""

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
    """Tells a node of backend servers that have ended while they ran a content."""

    crashes: list[tuple[str, str, int]] = attrs.field(validator=_crashes)
    """Digest of the content, backend server, and the stage of the run."""


@message(65)
@attrs.frozen
class CrashesNoted:
    """The answer to ``CrashesSeen``."""


MOST_DEMAND = 1e6
"""Requests a second, or full groups, that one node's callers may be said to ask for;
three orders of magnitude above what any node carries."""


def _demand(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list:
        raise FieldError(f"{attribute.name}: expected a list")
    for entry in value:
        if [type(field) for field in entry] != [str, str, float, float]:
            raise FieldError(f"{attribute.name}: unexpected entry")
        if not all(0.0 <= number <= MOST_DEMAND for number in entry[2:]):
            raise FieldError(f"{attribute.name}: expected 0 to {MOST_DEMAND:g}")


@message(66)
@attrs.frozen
class QueryDemand:
    """Asks a node what its callers have asked of each model lately."""


@message(67)
@attrs.frozen
class DemandReply:
    """What a node's callers have asked of each model lately."""

    models: list[tuple[str, str, float, float]] = attrs.field(validator=_demand)
    """Service, model, requests per second, and the groups that these keep busy."""


MOST_LIMIT_PER_S = 1e6
"""Requests a second that a backend server may be said to take; more than any takes."""

MOST_AGE_S = 1e6
"""Longest time that a message may speak of, in seconds."""


def _is_limit(limit_per_s: object) -> bool:
    if limit_per_s is None:
        return True
    return type(limit_per_s) is float and 0.0 <= limit_per_s <= MOST_LIMIT_PER_S


def _is_age(age_s: object) -> bool:
    return type(age_s) is float and 0.0 <= age_s <= MOST_AGE_S


def _limit(_: object, attribute: attrs.Attribute, value: object) -> None:
    if not _is_limit(value):
        raise FieldError(f"{attribute.name}: expected 0 to {MOST_LIMIT_PER_S:g}")


def _age(_: object, attribute: attrs.Attribute, value: object) -> None:
    if not _is_age(value):
        raise FieldError(f"{attribute.name}: expected 0 to {MOST_AGE_S:g}")


def _limits(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list:
        raise FieldError(f"{attribute.name}: expected a list")
    for backend_id, limit_per_s, age_s in value:
        if type(backend_id) is not str or not _is_limit(limit_per_s):
            raise FieldError(f"{attribute.name}: unexpected entry")
        if not _is_age(age_s):
            raise FieldError(f"{attribute.name}: unexpected age")


def _texts(_: object, attribute: attrs.Attribute, value: object) -> None:
    if type(value) is not list or not all(type(text) is str for text in value):
        raise FieldError(f"{attribute.name}: expected a list of texts")


@message(68)
@attrs.frozen
class AskPermit:
    """Asks a node for a permit to send a request to a limited backend server."""

    backend_id: str = _exactly(str)
    limit_per_s: float = attrs.field(validator=_limit)
    """The limit as the asking node knows it."""
    age_s: float = attrs.field(validator=_age)
    """How long ago the backend server has said so."""


@message(69)
@attrs.frozen
class PermitReply:
    """The answer to ``AskPermit``."""

    is_granted: bool = _exactly(bool)
    again_s: float = attrs.field(validator=_age)
    """When to ask again, if not."""


@message(70)
@attrs.frozen
class PressureSeen:
    """Tells a node what backend servers have asked for in their answers."""

    limits: list[tuple[str, float | None, float]] = attrs.field(validator=_limits)
    """Backend server, requests a second from all nodes together, None where it names no
    limit any more, and the age of its word in seconds."""
    leaving: list[str] = attrs.field(validator=_texts)
    """Backend servers that leave."""


@message(71)
@attrs.frozen
class PressureNoted:
    """The answer to ``PressureSeen``."""


@message(72)
@attrs.frozen
class QueryPressure:
    """Asks a node for what backend servers ask for; answered by ``PressureSeen``."""


ONE_ANSWER = frozenset(
    {
        QueryStatus,
        QueryDemand,
        QueryPressure,
        WatchTables,
        CrashesSeen,
        PressureSeen,
        AskPermit,
    }
)
"""Requests whose first answer is their last: neither side says that it is done, which
halves the frames between nodes."""
