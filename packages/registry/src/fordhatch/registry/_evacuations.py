"""Availability zones that the operators have evacuated."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from fordhatch.adapter import (
    BEFORE_ALL_VERSIONS,
    DecodeError,
    Row,
    StoreVersion,
    decode_evacuation_key,
)
from fordhatch.catalog import BackendServer
from fordhatch.core import ResultCode, log_event, metrics

from ._table_source import TableUpdate

MAX_LOGGED_KEY_CHARS = 100
"""Maximum length of a malformed key in the log."""


@attrs.define(eq=False, repr=False)
class Evacuations:
    """The zones to whose backend servers no request may be sent.

    A zone is evacuated while its row exists, also while nothing is known in it: a
    backend server that is listed there later gets no request either.
    """

    _zones: frozenset[str] = frozenset()
    _versions: dict[str, StoreVersion] = attrs.field(factory=dict)
    """Version of the latest change of each row by key, removals included."""
    _listed_at: StoreVersion = BEFORE_ALL_VERSIONS
    """Version of the last complete table; rows that it lacks did not exist then."""
    _unreported: set[str] = attrs.field(factory=set)
    """Evacuated zones in which neither a node nor a backend server is known yet."""
    _unknown: set[str] = attrs.field(factory=set)
    """Those of them that were reported as unknown."""
    _malformed: set[str] = attrs.field(factory=set)
    """Malformed keys in the table; each is logged once."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)
    _return_subscribers: list[Callable[[str], None]] = attrs.field(factory=list)

    def is_evacuated(self, zone: str) -> bool:
        """Return whether no request may be sent to backend servers of a zone."""
        return zone in self._zones

    def zones(self) -> frozenset[str]:
        """Return all evacuated zones, also those in which nothing is known."""
        return self._zones

    def exclude(self, backends: Collection[BackendServer]) -> Collection[BackendServer]:
        """Return the backend servers that are not in an evacuated zone."""
        zones = self._zones
        return [b for b in backends if b.zone not in zones] if zones else backends

    def subscribe(self, call: Callable[[], None]) -> None:
        """Call ``call`` after every change of the evacuated zones."""
        self._subscribers.append(call)

    def subscribe_returns(self, call: Callable[[str], None]) -> None:
        """Call ``call`` with the name of each zone that is in use again.

        It is called before any request can be sent there.
        """
        self._return_subscribers.append(call)

    def observe(self, update: TableUpdate, age_s: float = 0.0) -> TableUpdate:
        """Apply the evacuation rows of an update of their table.

        Answers of the store and of other nodes may overlap, so an update may contain
        a row as it was before a change that was already applied.

        Args:
            update: An answer of the store or of another node.
            age_s: Time since the store confirmed it, in seconds.

        Returns:
            The update without such outdated rows.
        """
        zones = set(self._zones)
        if update.is_whole:
            # A complete table is in force as it is, also that of a restored store.
            zones.clear()
            self._versions.clear()
            self._listed_at = BEFORE_ALL_VERSIONS
            self._malformed &= {row.row_key.key for row in update.rows}
        rows = [row for row in update.rows if self._apply_row(row, zones)]
        if update.is_whole:
            self._listed_at = update.version
        self._replace(frozenset(zones), age_s)
        is_complete = len(rows) == len(update.rows)
        return update if is_complete else attrs.evolve(update, rows=rows)

    def _apply_row(self, row: Row, zones: set[str]) -> bool:
        """Apply a row to a set of zones; return False if the row is outdated."""
        key = row.row_key.key
        try:
            zone = decode_evacuation_key(key)
        except DecodeError as error:
            self._report_malformed(key, str(error), is_removed=row.is_removed)
            return True
        if zone is None:
            return True
        if row.version < self._versions.get(key, self._listed_at):
            return False
        self._versions[key] = row.version
        if row.is_removed:
            zones.discard(zone)
        else:
            zones.add(zone)
        return True

    def _report_malformed(self, key: str, error: str, *, is_removed: bool) -> None:
        if is_removed:
            self._malformed.discard(key)
        elif key not in self._malformed:
            self._malformed.add(key)
            _log_unknown(key[:MAX_LOGGED_KEY_CHARS], error)

    def _replace(self, zones: frozenset[str], age_s: float) -> None:
        """Put a set of zones into force and notify the subscribers."""
        before, self._zones = self._zones, zones
        if before == zones:
            return
        returned = before - zones
        for zone in sorted(returned - self._unreported):
            log_event("zone_restored", zone=zone, age_s=round(age_s, 3))
        self._unknown -= returned
        self._unreported = (self._unreported | (zones - before)) - returned
        self._count()
        # Servers that return may be cold, which must be known before any is chosen.
        for zone in sorted(returned):
            for call in self._return_subscribers:
                call(zone)
        for call in self._subscribers:
            call()

    def report(self, known_zones: Callable[[], Collection[str]], age_s: float) -> None:
        """Log the zones that have been evacuated, and those that are not known.

        Args:
            known_zones: Returns the zones of all known nodes and backend servers;
                called only if a zone is still to be reported.
            age_s: Age of the copy of the rows, in seconds.
        """
        if not self._unreported:
            return
        known = known_zones()
        for zone in sorted(self._unreported):
            if zone in known:
                self._unreported.discard(zone)
                self._unknown.discard(zone)
                log_event("zone_evacuated", zone=zone, age_s=round(age_s, 3))
            elif zone not in self._unknown:
                self._unknown.add(zone)
                _log_unknown(zone, "no node and no backend server is known in it")
        self._count()

    def _count(self) -> None:
        metrics.ZONES_EVACUATED.set(len(self._zones - self._unreported))


def _log_unknown(zone: str, reason: str) -> None:
    code = ResultCode.ZONE_UNKNOWN
    log_event("zone_unknown", zone=zone, code=int(code), reason=reason)
