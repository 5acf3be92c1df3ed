"""Which process has answered at the address of a backend server.

An answer from an address is the word of whichever process has the address then: the one
that is meant, a later start of it, another backend server, or something in front of it.
"""

from __future__ import annotations

from enum import Enum

from fordhatch.adapter import BackendReport, ReplyKind
from fordhatch.catalog import BackendServer


class Responder(Enum):
    """Who has answered a query for one start of a backend server."""

    THIS_START = "this_start"
    """This start of the backend server: it was running when it answered."""
    OTHER_PROCESS = "other_process"
    """Another backend server or a later start of this one: this start has ended."""
    UNNAMED = "unnamed"
    """A process that does not say which one it is."""
    UNKNOWN = "unknown"
    """Perhaps no backend server at all: nothing is known about any."""


def identify(backend: BackendServer, report: BackendReport) -> Responder:
    """Return who has sent a report.

    Args:
        backend: The start of a backend server that was queried.
        report: An answer that was sent after the query.
    """
    is_other_id = report.registered_id not in ("", backend.registered_id)
    is_misdirected = report.reply is ReplyKind.MISDIRECTED
    if is_other_id or (is_misdirected and not report.registered_id):
        return Responder.OTHER_PROCESS
    if is_misdirected:
        # It names itself as the server that it says it isn't.
        return Responder.UNKNOWN
    if backend.born_ms:
        return _compare_starts(backend, report)
    # Without start times in the entries, every start has an id of its own.
    if report.registered_id or _is_same_membership(backend, report):
        return Responder.THIS_START
    return _unnamed(report)


def _compare_starts(backend: BackendServer, report: BackendReport) -> Responder:
    if report.born_ms == backend.born_ms:
        return Responder.THIS_START
    if report.born_ms > backend.born_ms:
        return Responder.OTHER_PROCESS
    # An answer of an earlier start is an old one; nothing follows about this start.
    return Responder.UNKNOWN if report.born_ms else _unnamed(report)


def _is_same_membership(backend: BackendServer, report: BackendReport) -> bool:
    """Return whether the sender has the place in a group that the entry names.

    A difference proves nothing: memberships change, and reports lag behind.
    """
    expected, found = backend.membership, report.membership
    if expected is None or found is None:
        return False
    return (expected.key, expected.rank) == (found.key, found.rank)


def _unnamed(report: BackendReport) -> Responder:
    is_failure = report.reply is ReplyKind.FAILED
    return Responder.UNKNOWN if is_failure else Responder.UNNAMED
