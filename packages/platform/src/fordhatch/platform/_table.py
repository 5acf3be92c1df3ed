"""The platform's transactional table service."""

from __future__ import annotations

from typing import Protocol, runtime_checkable

import attrs
from result import Result

from fordhatch.core import Failure


@attrs.frozen
class Row:
    """One row as read: its version rises by one with every write; 0 is absent."""

    key: str
    version: int
    value: dict[str, object] | None


@attrs.frozen
class VersionCheck:
    """The transaction commits only if the row has this version (0: no row)."""

    key: str
    version: int


@attrs.frozen
class FieldCheck:
    """The transaction commits only if the row's field has this value."""

    key: str
    field: str
    equals: object


Check = VersionCheck | FieldCheck


@attrs.frozen
class Transaction:
    """Checks and writes that take effect together or not at all."""

    checks: tuple[Check, ...] = ()
    puts: dict[str, dict[str, object]] = attrs.field(factory=dict)
    deletes: tuple[str, ...] = ()


@attrs.frozen
class Outcome:
    """The service's answer: committed, or the rows whose checks failed."""

    committed: bool
    conflicts: tuple[Row, ...] = ()


@runtime_checkable
class TableService(Protocol):
    """What the system needs of the table service."""

    async def read(self, keys: list[str]) -> Result[dict[str, Row], Failure]:
        """Read rows by key; an absent row comes back with version 0."""
        ...

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Result[list[Row], Failure]:
        """Read rows whose key starts with ``prefix``, in key order.

        Args:
            prefix: Start of the keys.
            after: Only keys that sort after this one.
            limit: Most rows to return; 0 returns all.
        """
        ...

    async def transact(self, transaction: Transaction) -> Result[Outcome, Failure]:
        """Apply a transaction.

        A failure with ``ran`` maybe means that it may have taken effect: the
        caller reads back and looks for its own token in the rows.
        """
        ...


@runtime_checkable
class ObjectStore(Protocol):
    """What the system needs of the object store."""

    async def put(self, name: str, content: bytes) -> Result[None, Failure]:
        """Store an object; storing the same content again is harmless."""
        ...

    async def get(self, name: str) -> Result[bytes | None, Failure]:
        """Return an object, or None where there is none."""
        ...


@attrs.frozen
class Instance:
    """An instance as the platform lists it."""

    instance_id: str
    address: str
    region: str
    zone: str
    fabric_domain: str
    accelerator: str
    """Accelerator kind; empty for an instance that runs a plain service."""
    service: str = ""
    """Name of the plain service that the instance runs, if any."""
    state: str = "live"
    """``live`` or ``leaving``; an instance that is gone is not listed."""
    checks_orders: bool = True
    """Whether its engine refuses orders with an old fencing token."""


@runtime_checkable
class InstanceList(Protocol):
    """What the system needs of the platform's lagging list of instances."""

    async def instances(self, region: str) -> Result[list[Instance], Failure]:
        """Return the live and leaving instances of a region."""
        ...
