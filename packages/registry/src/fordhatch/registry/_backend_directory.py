"""Backend servers and replica groups, as they register themselves."""

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
from ._lapsed_entries import LAPSE_GRACE_S, LapsedEntries
from ._older_entries import OlderEntries
from ._starts_told import StartsTold

AFTER_OUTAGE_S = 1.0
"""Entries may also lapse just after the store's return, before the first heartbeat
that reaches it; removals within this time prove nothing either."""

Key = tuple[str, int]


@attrs.define
class _Entry:
    """What is known of one registered id."""

    value: bytes
    """The entry as it was read last; one that has not changed is not read again."""
    backend_id: str = ""
    """The start that it names; empty while it can't be read."""


@attrs.define(eq=False, repr=False)
class BackendDirectory:
    """Every backend server that is registered now."""

    timer: Timer
    _index: BackendIndex = attrs.field(factory=BackendIndex)
    version: int = 0
    """Rises with every change here."""
    outage_ended_s: float = -math.inf
    """When an outage of the store was last found to have ended."""
    logs_changes: bool = True
    """Whether changes are logged one by one. A node that gets its tables from another
    one leaves that to it: at 925 backend servers and 195 nodes every change would be
    written 195 times, and a line costs more than the change."""
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    """Entries by registered id."""
    _starts: StartsTold = attrs.field(factory=StartsTold)
    _are_starts_expected: bool = False
    """What was decided last by whether most entries tell their start."""
    _pending: dict[str, Row] = attrs.field(factory=dict)
    """Entries that have changed and were not read yet. Most nodes need a look at the
    directory a few times a second, while entries change six times each in the seconds
    before the first request; only the last change of each is read."""
    _unreadable: set[str] = attrs.field(factory=set)
    """Registered ids whose entry can't be used now; said once of each."""
    _lapsed: LapsedEntries = attrs.field(init=False)
    """Entries missing since an outage of the store."""
    _broken: set[Key] = attrs.field(factory=set)
    """Groups that lost a member for certain: it has started again."""
    departures: Departures = attrs.field(init=False)
    """Backend servers that have said in an answer that they leave."""
    _older: OlderEntries = attrs.field(init=False)
    """Entries of a copy of the store that are not taken yet."""
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)
    _change_subscribers: list[Callable[[BackendServer], None]] = attrs.field(
        factory=list
    )
    _end_subscribers: list[Callable[[BackendServer, bool], None]] = attrs.field(
        factory=list
    )

    def __attrs_post_init__(self) -> None:
        """Build what the directory fills."""
        self.departures = Departures(self.timer)
        self._lapsed = LapsedEntries(self.timer)
        self._older = OlderEntries(self.timer)

    @property
    def index(self) -> BackendIndex:
        """Backend servers by what is asked of them."""
        if self._pending:
            self._read_pending()
        return self._index

    @property
    def backends(self) -> Mapping[str, BackendServer]:
        """Backend servers by their id."""
        return self.index.backends

    def subscribe(self, call: Callable[[], None]) -> None:
        """Call back after every update that may have changed something."""
        self._subscribers.append(call)

    def subscribe_changes(self, call: Callable[[BackendServer], None]) -> None:
        """Call back with each backend server that appeared or changed."""
        self._change_subscribers.append(call)

    def subscribe_ends(self, call: Callable[[BackendServer, bool], None]) -> None:
        """Call back with each backend server that is gone.

        Args:
            call: Its second argument says whether a later start has taken its place,
                so that this one has ended for certain.
        """
        self._end_subscribers.append(call)

    # Updates of the table.

    def observe_snapshot(self, rows: Sequence[Row], *, is_return: bool = False) -> None:
        """Take every row of the table.

        Args:
            rows: The rows.
            is_return: Whether the store has come back from an older copy with them.
        """
        is_first = not self._entries
        before = self.version
        present = {row.row_key.key for row in rows}
        for registered_id in set(self._entries) - present:
            if self._is_after_outage():
                self._lapsed.add(registered_id)
            elif registered_id not in self._lapsed:
                self._forget(registered_id, "not listed")
        for row in rows:
            self._note(row, is_of_copy=is_return)
        if self.logs_changes and not is_first:
            self._read_pending()
        log_event("backends_listed", backends=len(present))
        self._tell(before)

    def observe_changes(self, rows: Sequence[Row], *, is_return: bool = False) -> None:
        """Take changed rows, in order; see ``observe_snapshot``."""
        before = self.version
        for row in rows:
            if not row.is_removed:
                self._note(row, is_of_copy=is_return)
            elif not self._is_after_outage():
                self._forget(row.row_key.key, "removed")
            elif row.row_key.key in self._entries:
                self._lapsed.add(row.row_key.key)
        if self.logs_changes:
            self._read_pending()
        self._tell(before)

    def _is_after_outage(self) -> bool:
        return self.timer.now_s() - self.outage_ended_s < AFTER_OUTAGE_S

    def expire(self) -> None:
        """Drop the entries whose grace has ended, and take those held back so long."""
        before = self.version
        for row in self._older.take_due():
            self._note(row)
        for registered_id in self._lapsed.due():
            self._forget(registered_id, "lapsed")
        self._tell(before)

    def restore(self, members: Iterable[BackendServer]) -> None:
        """Take members of recorded groups that are not listed, for a short time.

        A node that has just started does not know whether entries have lapsed while
        the store was away. Whoever is not listed within the grace is gone.

        Args:
            members: Members of groups that served when they were recorded.
        """
        self._read_pending()
        before = self.version
        missing = [m for m in members if m.registered_id not in self._entries]
        for member in missing:
            self._entries[member.registered_id] = _Entry(b"", member.backend_id)
            self._lapsed.add(member.registered_id)
            self._add(member)
        if missing:
            log_event("backends_restored", members=len(missing))
        self._tell(before)

    def note_leaving(self, backend_id: str) -> bool:
        """Take a backend server's word that it leaves; returns whether it is new."""
        known = self.backends.get(backend_id)
        if known is None or not self.departures.add(backend_id):
            return False
        before = self.version
        self._add(self.departures.apply(known))
        self._tell(before)
        return True

    def forget_departures(self) -> None:
        """Go by the entries again of those that have not left after all."""
        before = self.version
        for backend_id in self.departures.take_old():
            known = self.backends.get(backend_id)
            entry = self._entries.get(known.registered_id) if known else None
            if entry is not None and entry.value:
                self._take(
                    entry, decode_backend(known.registered_id, entry.value), None
                )
        self._tell(before)

    def _note(self, row: Row, *, is_of_copy: bool = False) -> None:
        """Take a row to be read when somebody asks."""
        registered_id = row.row_key.key
        self._lapsed.discard(registered_id)
        self._older.note(registered_id, is_of_copy=is_of_copy)
        entry = self._entries.get(registered_id)
        if entry is None:
            entry = self._entries[registered_id] = _Entry(b"")
        if entry.value == row.value:
            self._pending.pop(registered_id, None)
            return
        self._pending[registered_id] = row

    def _read_pending(self) -> None:
        """Read the entries that have changed; subscribers know of them already."""
        pending, self._pending = self._pending, {}
        for row in pending.values():
            self._put(row)
        self._judge_starts()

    def _put(self, row: Row) -> None:
        registered_id = row.row_key.key
        entry = self._entries[registered_id]
        try:
            found = decode_backend(registered_id, row.value)
        except DecodeError as error:
            self._starts.forget(registered_id)
            self._put_unreadable(registered_id, row, str(error))
            return
        self._starts.note(registered_id, is_told=found.born_ms != 0)
        is_expected = self._are_starts_expected or self._starts.newest_ms(registered_id)
        if is_expected and not found.born_ms:
            self._put_unreadable(registered_id, row, "born: missing")
            return
        if found.born_ms < self._starts.newest_ms(registered_id):
            self._log("backend_entry_late", backend=found.backend_id)
            return
        known = self._index.backends.get(entry.backend_id)
        if self._older.is_doubtful(registered_id, found, known):
            self._hold(row, known)
            return
        entry.value = row.value
        self._take(entry, found, row.version)

    def _hold(self, row: Row, known: BackendServer | None) -> None:
        """Go on with what is known, until the row's author had time to write again."""
        self._log("backend_entry_held", backend=row.row_key.key, row=str(row.version))
        self._older.hold(row, LAPSE_GRACE_S)
        if known is not None and known.state is BackendState.DRAINING:
            # Whoever has said that it leaves never takes that back.
            self.departures.add(known.backend_id)

    def _judge_starts(self) -> None:
        """Look at the entries without a start anew when most others have changed."""
        if self._starts.are_expected == self._are_starts_expected:
            return
        self._are_starts_expected = self._starts.are_expected
        for registered_id in self._starts.silent():
            entry = self._entries.get(registered_id)
            if entry is None or self._starts.newest_ms(registered_id):
                continue
            if self._are_starts_expected:
                self._remove(entry, "does not tell its start")
            elif not entry.backend_id:
                self._take(entry, decode_backend(registered_id, entry.value), None)

    def _put_unreadable(self, registered_id: str, row: Row, error: str) -> None:
        """Use nobody by an entry that can't be read, whoever it named before.

        The group of a backend server that is used no more asks it for a sign of life,
        as with one that is not listed: its entry says nothing about it any more.
        """
        entry = self._entries[registered_id]
        entry.value = row.value
        self._remove(entry, "entry unreadable")
        if registered_id not in self._unreadable:
            self._unreadable.add(registered_id)
            self._log(
                "backend_unreadable",
                backend=registered_id[:100],
                row=str(row.version),
                error=error[:300],
            )

    def _take(
        self, entry: _Entry, found: BackendServer, row_version: StoreVersion | None
    ) -> None:
        """Take what an entry names now; with no row version nothing is logged."""
        found = self.departures.apply(found)
        known = self._index.backends.get(entry.backend_id)
        self._unreadable.discard(found.registered_id)
        if known == found:
            return
        if known is not None and known.backend_id != found.backend_id:
            self._restarted(known, found)
        entry.backend_id = found.backend_id
        if found.born_ms:
            self._starts.note_newest(found.registered_id, found.born_ms)
        if self.logs_changes and row_version is not None:
            log_change(known, found, str(row_version))
        self._add(found)
        if known is not None and known.membership is not None:
            self._forget_broken(known)

    def _restarted(self, known: BackendServer, found: BackendServer) -> None:
        """Note that a backend server has started again under its id."""
        if known.membership is not None:
            self._broken.add(known.membership.key)
        self._log("backend_restarted", backend=known.backend_id, now=found.backend_id)
        self._end(known.backend_id, is_restarted=True)

    def _add(self, backend: BackendServer) -> None:
        self._index.put(backend)
        self.version += 1
        for call in self._change_subscribers:
            call(backend)

    def _forget(self, registered_id: str, reason: str) -> None:
        """Take a row away."""
        self._pending.pop(registered_id, None)
        self._lapsed.discard(registered_id)
        self._unreadable.discard(registered_id)
        self._starts.forget(registered_id)
        self._older.forget(registered_id)
        entry = self._entries.pop(registered_id, None)
        if entry is not None:
            self._remove(entry, reason)

    def _remove(self, entry: _Entry, reason: str) -> None:
        """Use the backend server no more that an entry named."""
        if not entry.backend_id:
            return
        self._log("backend_gone", backend=entry.backend_id, reason=reason)
        self._end(entry.backend_id, is_restarted=False)
        entry.backend_id = ""

    def _end(self, backend_id: str, *, is_restarted: bool) -> None:
        known = self._index.remove(backend_id)
        self.version += 1
        if known is None:
            return
        if known.membership is not None:
            self._forget_broken(known)
        for call in self._end_subscribers:
            call(known, is_restarted)

    def _forget_broken(self, backend: BackendServer) -> None:
        key = backend.membership.key
        if key in self._broken and key not in self._index.groups(backend.service):
            self._broken.discard(key)

    def _log(self, event: str, **fields: object) -> None:
        if self.logs_changes:
            log_event(event, **fields)

    def _tell(self, version_before: int) -> None:
        if self.version == version_before and not self._pending:
            return
        for call in self._subscribers:
            call()

    # What is asked of it.

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service."""
        return list(self.index.of_service(service))

    def is_listed(self, backend: BackendServer) -> bool:
        """Return whether its own entry was read, and not only a record of its group."""
        entry = self._entries.get(backend.registered_id)
        return entry is not None and entry.value != b""

    def plain(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a plain service that take new work."""
        of_service = self.index.of_service(service)
        return [b for b in of_service if b.state is BackendState.READY]

    def open_heads(self, service: str, model: str) -> Collection[BackendServer]:
        """Return the heads that serve a model and take new work."""
        heads = self.index.open_heads(service, model)
        if not self._broken:
            return heads
        return [h for h in heads if h.membership.key not in self._broken]

    def served_models(self, service: str) -> set[str]:
        """Return the models that some group of a service serves now."""
        return self.index.served_models(service)

    def groups(self, service: str) -> Mapping[Key, ReplicaGroup]:
        """Return the groups of a service, by name and epoch."""
        return self.index.groups(service)
