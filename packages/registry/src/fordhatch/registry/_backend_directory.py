"""Registered backend servers and replica groups."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import attrs

from fordhatch.adapter import DecodeError, Row, StoreVersion, decode_backend
from fordhatch.catalog import BackendServer, BackendState
from fordhatch.core import Timer, log_event

from ._backend_index import BackendIndex, ReplicaGroup
from ._change_log import log_change
from ._departures import Departures
from ._directory_entry import DirectoryEntry
from ._evacuations import Evacuations
from ._lapsed_entries import LAPSE_GRACE_S, LapsedEntries
from ._restored_entries import RestoredEntries
from ._start_times import StartTimes

POST_OUTAGE_WINDOW_S = 1.0
"""Entries may also lapse just after an outage, before the first heartbeat that reaches
the store: removals within this time don't prove that a server is gone."""

Key = tuple[str, int]


@attrs.define(eq=False, repr=False)
class BackendDirectory:
    """All backend servers that are registered now."""

    timer: Timer
    evacuations: Evacuations = attrs.field(factory=Evacuations)
    _index: BackendIndex = attrs.field(factory=BackendIndex)
    version: int = 0
    """Incremented with every change."""
    outage_ended_s: float = -math.inf
    """When the end of the last outage of the store was seen, in monotonic seconds."""
    logs_changes: bool = True
    """Whether changes are logged; only nodes that read from the store do so."""
    accepts: Callable[[BackendServer], bool] = lambda b: b.cold_left_s is not None
    """Called with each entry before it is applied; returns whether it can be used."""
    _entries: dict[str, DirectoryEntry] = attrs.field(factory=dict)
    """Entries by registered id."""
    _starts: StartTimes = attrs.field(factory=StartTimes)
    _are_starts_required: bool = False
    """The last decision on whether an entry must contain its start time."""
    _pending: dict[str, Row] = attrs.field(factory=dict)
    """Changed entries that are not decoded yet, only the last change of each."""
    _malformed: set[str] = attrs.field(factory=set)
    """Registered ids whose entry cannot be used; logged once for each."""
    _lapsed: LapsedEntries = attrs.field(init=False)
    """Entries that are missing since an outage of the store."""
    _broken_groups: set[Key] = attrs.field(factory=set)
    """Groups that have lost a member for certain, because it has restarted."""
    departures: Departures = attrs.field(init=False)
    """Backend servers that have announced in a response that they are leaving."""
    _restored: RestoredEntries = attrs.field(init=False)
    """Entries restored from a backup of the store that are not applied yet."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)
    _change_subscribers: list[Callable[[BackendServer], None]] = attrs.field(
        factory=list
    )
    _removal_subscribers: list[Callable[[BackendServer, bool], None]] = attrs.field(
        factory=list
    )

    def __attrs_post_init__(self) -> None:
        """Build the parts that need the timer."""
        self.departures = Departures(self.timer)
        self._lapsed = LapsedEntries(self.timer)
        self._restored = RestoredEntries(self.timer)
        self.evacuations.subscribe(lambda: self._notify(-1))

    @property
    def index(self) -> BackendIndex:
        """The index of the backend servers, with pending changes applied."""
        if self._pending:
            self._apply_pending()
        return self._index

    @property
    def backends(self) -> Mapping[str, BackendServer]:
        """Backend servers by id."""
        return self.index.backends

    def subscribe(self, call: Callable[[], None]) -> None:
        """Call ``call`` after every update that may have changed the directory."""
        self._subscribers.append(call)

    def subscribe_changes(self, call: Callable[[BackendServer], None]) -> None:
        """Call ``call`` with each backend server that is new or has changed."""
        self._change_subscribers.append(call)

    def subscribe_removals(self, call: Callable[[BackendServer, bool], None]) -> None:
        """Call ``call`` with each backend server that is removed.

        Args:
            call: Its second argument is true if a later start has replaced the backend
                server, so that the earlier start has terminated for certain.
        """
        self._removal_subscribers.append(call)

    def observe_snapshot(
        self, rows: Sequence[Row], *, is_restored: bool = False
    ) -> None:
        """Apply all rows of the table.

        Args:
            rows: All rows.
            is_restored: Whether the store was restored from a backup just before.
        """
        is_first = not self._entries
        before = self.version
        present = {row.row_key.key for row in rows}
        for registered_id in set(self._entries) - present:
            if self._is_after_outage():
                self._lapsed.add(registered_id)
            elif registered_id not in self._lapsed:
                self._remove_entry(registered_id, "not listed")
        for row in rows:
            self._add_pending(row, is_restored=is_restored)
        if self.logs_changes and not is_first:
            self._apply_pending()
        log_event("backends_listed", backends=len(present))
        self._notify(before)

    def observe_changes(
        self, rows: Sequence[Row], *, is_restored: bool = False
    ) -> None:
        """Apply changed rows in order; see ``observe_snapshot``."""
        before = self.version
        for row in rows:
            if not row.is_removed:
                self._add_pending(row, is_restored=is_restored)
            elif not self._is_after_outage():
                self._remove_entry(row.row_key.key, "removed")
            elif row.row_key.key in self._entries:
                self._lapsed.add(row.row_key.key)
        if self.logs_changes:
            self._apply_pending()
        self._notify(before)

    def _is_after_outage(self) -> bool:
        return self.timer.now_s() - self.outage_ended_s < POST_OUTAGE_WINDOW_S

    def expire(self) -> None:
        """Remove lapsed entries whose grace has ended, and apply due deferred rows."""
        before = self.version
        for row in self._restored.pop_due():
            self._add_pending(row)
        for registered_id in self._lapsed.due():
            self._remove_entry(registered_id, "lapsed")
        self._notify(before)

    def restore(self, members: Iterable[BackendServer]) -> None:
        """Add members of recorded groups that are not listed, for a short time.

        A node that has just started does not know whether entries have lapsed while
        the store was unavailable. Members not listed within the grace are removed.

        Args:
            members: Members of groups that served when they were recorded.
        """
        self._apply_pending()
        before = self.version
        missing = [m for m in members if m.registered_id not in self._entries]
        for member in missing:
            self._entries[member.registered_id] = DirectoryEntry(b"", member.backend_id)
            self._lapsed.add(member.registered_id)
            self._add(member)
        if missing:
            log_event("backends_restored", members=len(missing))
        self._notify(before)

    def record_departure(self, backend_id: str) -> bool:
        """Record that a backend server is leaving; returns whether that is new."""
        known = self.backends.get(backend_id)
        if known is None or not self.departures.add(backend_id):
            return False
        before = self.version
        self._add(self.departures.apply(known))
        self._notify(before)
        return True

    def expire_departures(self) -> None:
        """Use the entries again of backend servers that announced but did not leave."""
        before = self.version
        for backend_id in self.departures.pop_expired():
            known = self.backends.get(backend_id)
            entry = self._entries.get(known.registered_id) if known else None
            if entry is not None and entry.value:
                found = decode_backend(known.registered_id, entry.value)
                self._apply(entry, found, None)
        self._notify(before)

    def _add_pending(self, row: Row, *, is_restored: bool = False) -> None:
        """Store a row that is decoded when the directory is read."""
        registered_id = row.row_key.key
        self._lapsed.discard(registered_id)
        self._restored.record_row(registered_id, is_restored=is_restored)
        entry = self._entries.get(registered_id)
        if entry is None:
            entry = self._entries[registered_id] = DirectoryEntry(b"")
        if entry.value == row.value:
            self._pending.pop(registered_id, None)
            return
        self._pending[registered_id] = row

    def _apply_pending(self) -> None:
        """Apply changed entries; the subscribers have been notified of them already."""
        pending, self._pending = self._pending, {}
        for row in pending.values():
            self._apply_row(row)
        self._update_start_requirement()

    def _apply_row(self, row: Row) -> None:
        registered_id = row.row_key.key
        entry = self._entries[registered_id]
        try:
            found = decode_backend(registered_id, row.value)
        except DecodeError as error:
            self._starts.remove(registered_id)
            self._reject_row(registered_id, row, str(error))
            return
        self._starts.record_entry(registered_id, has_start_time=found.born_ms != 0)
        is_required = self._are_starts_required or self._starts.newest_ms(registered_id)
        if is_required and not found.born_ms:
            self._reject_row(registered_id, row, "born: missing")
            return
        if found.born_ms < self._starts.newest_ms(registered_id):
            self._log("backend_entry_late", backend=found.backend_id)
            return
        known = self._index.backends.get(entry.backend_id)
        if self._restored.may_be_outdated(registered_id, found, known):
            self._defer(row, known)
            return
        if not self.accepts(found):
            self._reject_row(registered_id, row, "remaining cold time: malformed")
            return
        entry.value = row.value
        self._apply(entry, found, row.version)

    def _defer(self, row: Row, known: BackendServer | None) -> None:
        """Keep the known state until the row's author has had time to rewrite it."""
        self._log("backend_entry_held", backend=row.row_key.key, row=str(row.version))
        self._restored.defer(row, LAPSE_GRACE_S)
        if known is not None and known.state is BackendState.DRAINING:
            # A backend server that is leaving never becomes ready again.
            self.departures.add(known.backend_id)

    def _update_start_requirement(self) -> None:
        """Recheck entries without a start time when the requirement has changed."""
        if self._starts.are_required == self._are_starts_required:
            return
        self._are_starts_required = self._starts.are_required
        for registered_id in self._starts.ids_without():
            entry = self._entries.get(registered_id)
            if entry is None or self._starts.newest_ms(registered_id):
                continue
            if self._are_starts_required:
                self._remove_backend(entry, "does not tell its start")
            elif not entry.backend_id:
                self._apply(entry, decode_backend(registered_id, entry.value), None)

    def _reject_row(self, registered_id: str, row: Row, error: str) -> None:
        """Remove the backend server whose entry has become malformed.

        Its group probes it then, like a member that is not listed: a malformed entry
        gives no information about it.
        """
        entry = self._entries[registered_id]
        entry.value = row.value
        self._remove_backend(entry, "entry unreadable")
        if registered_id not in self._malformed:
            self._malformed.add(registered_id)
            self._log(
                "backend_unreadable",
                backend=registered_id[:100],
                row=str(row.version),
                error=error[:300],
            )

    def _apply(
        self,
        entry: DirectoryEntry,
        found: BackendServer,
        row_version: StoreVersion | None,
    ) -> None:
        """Apply a decoded entry; without a row version nothing is logged."""
        found = self.departures.apply(found)
        known = self._index.backends.get(entry.backend_id)
        self._malformed.discard(found.registered_id)
        if known == found:
            return
        if known is not None and known.backend_id != found.backend_id:
            self._process_restart(known, found)
        entry.backend_id = found.backend_id
        if found.born_ms:
            self._starts.record_newest(found.registered_id, found.born_ms)
        if self.logs_changes and row_version is not None:
            log_change(known, found, str(row_version))
        self._add(found)
        if known is not None and known.membership is not None:
            self._prune_broken_group(known)

    def _process_restart(self, known: BackendServer, found: BackendServer) -> None:
        """Replace a backend server by a later start under the same id."""
        if known.membership is not None:
            self._broken_groups.add(known.membership.key)
        self._log("backend_restarted", backend=known.backend_id, now=found.backend_id)
        self._remove_start(known.backend_id, is_restarted=True)

    def _add(self, backend: BackendServer) -> None:
        self._index.put(backend)
        self.version += 1
        for call in self._change_subscribers:
            call(backend)

    def _remove_entry(self, registered_id: str, reason: str) -> None:
        """Remove an entry and the backend server that it names."""
        self._pending.pop(registered_id, None)
        self._lapsed.discard(registered_id)
        self._malformed.discard(registered_id)
        self._starts.remove(registered_id)
        self._restored.record_removal(registered_id)
        entry = self._entries.pop(registered_id, None)
        if entry is not None:
            self._remove_backend(entry, reason)

    def _remove_backend(self, entry: DirectoryEntry, reason: str) -> None:
        """Remove the backend server that an entry has named, but keep the entry."""
        if not entry.backend_id:
            return
        self._log("backend_gone", backend=entry.backend_id, reason=reason)
        self._remove_start(entry.backend_id, is_restarted=False)
        entry.backend_id = ""

    def _remove_start(self, backend_id: str, *, is_restarted: bool) -> None:
        known = self._index.remove(backend_id)
        self.version += 1
        if known is None:
            return
        if known.membership is not None:
            self._prune_broken_group(known)
        for call in self._removal_subscribers:
            call(known, is_restarted)

    def _prune_broken_group(self, backend: BackendServer) -> None:
        key = backend.membership.key
        groups = self._index.groups(backend.service)
        if key in self._broken_groups and key not in groups:
            self._broken_groups.discard(key)

    def _log(self, event: str, **fields: object) -> None:
        if self.logs_changes:
            log_event(event, **fields)

    def _notify(self, version_before: int) -> None:
        if self.version == version_before and not self._pending:
            return
        for call in self._subscribers:
            call()

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service."""
        return list(self.index.of_service(service))

    def in_use(self, service: str) -> Collection[BackendServer]:
        """Return the backend servers of a service outside evacuated zones."""
        return self.evacuations.exclude(self.index.of_service(service))

    def is_listed(self, backend: BackendServer) -> bool:
        """Return whether its own entry was read, not only the record of its group."""
        entry = self._entries.get(backend.registered_id)
        return entry is not None and entry.value != b""

    def plain(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a plain service that accept new work."""
        return [b for b in self.in_use(service) if b.state is BackendState.READY]

    def open_heads(self, service: str, model: str) -> Collection[BackendServer]:
        """Return the heads that serve a model and accept new work."""
        heads = self.evacuations.exclude(self.index.open_heads(service, model))
        if not self._broken_groups:
            return heads
        return [h for h in heads if h.membership.key not in self._broken_groups]

    def served_models(self, service: str) -> set[str]:
        """Return the models that at least one open head of a service serves now."""
        heads, exclude = self.index.open_heads, self.evacuations.exclude
        models = self.index.served_models(service)
        return {m for m in models if exclude(heads(service, m))}

    def groups(self, service: str) -> Mapping[Key, ReplicaGroup]:
        """Return the groups of a service, by name and epoch."""
        return self.index.groups(service)
