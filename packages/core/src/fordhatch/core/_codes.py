"""Numbered result codes for every refusal and failure."""

from __future__ import annotations

from enum import IntEnum, StrEnum

import attrs


class Ran(StrEnum):
    """Whether a request without a complete answer may have been executed."""

    NO = "no"
    """Not executed: never sent, or refused by the backend server before running it."""
    MAYBE = "maybe"
    """Possibly executed: every other case."""


class ResultCode(IntEnum):
    """Every numbered outcome, grouped in hundreds by the component that decides.

    ``CODE_TABLE`` holds the meaning, HTTP status and ``ran`` of each code.
    """

    OK = 0
    BAD_REQUEST = 100
    UNKNOWN_MODEL = 101
    UNAUTHENTICATED = 102
    FORBIDDEN = 103
    BODY_TOO_LARGE = 104
    NOT_FOUND = 105
    KEY_REUSED = 106
    IN_PROGRESS = 107
    OUTCOME_UNKNOWN = 108
    OVERLOADED = 200
    NO_GROUP_READY = 201
    DEADLINE_EXCEEDED = 202
    BACKEND_LOST = 203
    STREAM_INCOMPLETE = 204
    WORKSPACE_LIMIT = 205
    SHUTTING_DOWN = 206
    BACKEND_REFUSED = 207
    WRONG_ANSWER = 208
    BACKEND_ERROR = 209
    NO_CONFIG = 210
    CLIENT_GONE = 211
    CONFIGURATION_STALE = 212
    REQUEST_QUARANTINED = 213
    PROBE_INCONCLUSIVE = 214
    ZONE_EVACUATED = 215
    NODE_STOPPED = 216
    COLD_UNREADABLE = 230
    RETRY_POOL_UNREADABLE = 231
    STORE_UNAVAILABLE = 300
    STORE_OUTCOME_UNKNOWN = 301
    STORE_CONFLICT = 302
    STORE_HISTORY_GONE = 303
    CONFIG_INVALID = 400
    CONFIG_CONFLICT = 401
    REVISION_NOT_REACHED = 402
    CONFIG_OUTCOME_UNKNOWN = 403
    ZONE_UNKNOWN = 404
    SETTINGS_UNREADABLE = 500
    SETTING_UNKNOWN = 501
    SETTING_INVALID = 502
    SETTING_MISSING = 503
    PEER_UNREACHABLE = 600
    PEER_REFUSED = 601
    FRAME_INVALID = 602
    LOAD_REPORT_REFUSED = 603
    INVARIANT_VIOLATED = 900
    INTERNAL = 901


@attrs.frozen
class CodeInfo:
    """HTTP status, default ``ran`` and meaning of one result code."""

    http_status: int
    ran: Ran
    meaning: str


def _info(http_status: int, ran: Ran, meaning: str) -> CodeInfo:
    return CodeInfo(http_status, ran, meaning)


CODE_TABLE: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: _info(200, Ran.MAYBE, "Complete."),
    ResultCode.BAD_REQUEST: _info(400, Ran.NO, "The request is malformed."),
    ResultCode.UNKNOWN_MODEL: _info(404, Ran.NO, "No application has this model."),
    ResultCode.UNAUTHENTICATED: _info(401, Ran.NO, "The key or token is not valid."),
    ResultCode.FORBIDDEN: _info(403, Ran.NO, "The workspace may not use this."),
    ResultCode.BODY_TOO_LARGE: _info(413, Ran.NO, "The body exceeds the limit."),
    ResultCode.NOT_FOUND: _info(404, Ran.NO, "Nothing is at this path."),
    ResultCode.KEY_REUSED: _info(
        422, Ran.NO, "The idempotency key was used for a different request."
    ),
    ResultCode.IN_PROGRESS: _info(
        409, Ran.MAYBE, "A request with this idempotency key is still running."
    ),
    ResultCode.OUTCOME_UNKNOWN: _info(
        409,
        Ran.MAYBE,
        "An earlier request with this idempotency key may have run; its answer "
        "was lost. It will not be run again.",
    ),
    ResultCode.OVERLOADED: _info(
        503, Ran.NO, "The model has no capacity before the caller would give up."
    ),
    ResultCode.NO_GROUP_READY: _info(
        503, Ran.NO, "No replica of the model is complete at present."
    ),
    ResultCode.DEADLINE_EXCEEDED: _info(
        504, Ran.MAYBE, "The answer was not complete by its deadline."
    ),
    ResultCode.BACKEND_LOST: _info(
        502, Ran.MAYBE, "The backend server was lost after the request was sent."
    ),
    ResultCode.STREAM_INCOMPLETE: _info(
        502, Ran.MAYBE, "The stream broke and could not be continued."
    ),
    ResultCode.WORKSPACE_LIMIT: _info(
        429, Ran.NO, "The workspace has reached its limit of concurrent requests."
    ),
    ResultCode.SHUTTING_DOWN: _info(503, Ran.NO, "The node is shutting down."),
    ResultCode.BACKEND_REFUSED: _info(
        503, Ran.NO, "The backend server refused the request before running it."
    ),
    ResultCode.WRONG_ANSWER: _info(
        502,
        Ran.MAYBE,
        "The answer named another request, group or epoch, or its head was invalid.",
    ),
    ResultCode.BACKEND_ERROR: _info(
        502, Ran.MAYBE, "The backend server failed while running the request."
    ),
    ResultCode.NO_CONFIG: _info(
        503, Ran.NO, "The node has not confirmed a configuration yet."
    ),
    ResultCode.CONFIGURATION_STALE: _info(
        503, Ran.NO, "The node's configuration was not confirmed for too long."
    ),
    ResultCode.REQUEST_QUARANTINED: _info(
        503,
        Ran.NO,
        "Several backend servers have ended while they ran this request, in this or "
        "in other tries, or others with the same part in their prompts; it is not run "
        "again for now.",
    ),
    ResultCode.PROBE_INCONCLUSIVE: _info(
        503, Ran.NO, "It cannot be told whether a backend server answers."
    ),
    ResultCode.ZONE_EVACUATED: _info(
        503,
        Ran.NO,
        "Every backend server that could serve this is in an evacuated zone.",
    ),
    ResultCode.NODE_STOPPED: _info(
        502, Ran.MAYBE, "The node stopped before the answer was complete."
    ),
    ResultCode.COLD_UNREADABLE: _info(
        503, Ran.NO, "The time for which a backend server is cold is malformed."
    ),
    ResultCode.RETRY_POOL_UNREADABLE: _info(
        503, Ran.NO, "The row that counts retries in the store is malformed."
    ),
    ResultCode.CLIENT_GONE: _info(499, Ran.MAYBE, "The caller closed its connection."),
    ResultCode.STORE_UNAVAILABLE: _info(
        503, Ran.NO, "The platform's store cannot be reached; nothing was decided."
    ),
    ResultCode.STORE_OUTCOME_UNKNOWN: _info(
        503, Ran.MAYBE, "The platform's store did not confirm a write."
    ),
    ResultCode.STORE_CONFLICT: _info(
        409, Ran.NO, "Another writer changed a row that the transaction relied on."
    ),
    ResultCode.STORE_HISTORY_GONE: _info(
        503, Ran.NO, "The store no longer knows what changed; read it whole."
    ),
    ResultCode.CONFIG_INVALID: _info(400, Ran.NO, "The operators' file has mistakes."),
    ResultCode.CONFIG_CONFLICT: _info(
        409, Ran.NO, "Another operator's file was accepted on the same base revision."
    ),
    ResultCode.REVISION_NOT_REACHED: _info(
        503, Ran.NO, "The node has not reached the revision that was asked for."
    ),
    ResultCode.CONFIG_OUTCOME_UNKNOWN: _info(
        503, Ran.MAYBE, "Whether the file was accepted is not known; apply it again."
    ),
    ResultCode.ZONE_UNKNOWN: _info(
        404, Ran.NO, "No node and no backend server is known in the zone."
    ),
    ResultCode.SETTINGS_UNREADABLE: _info(400, Ran.NO, "The file is not valid JSON."),
    ResultCode.SETTING_UNKNOWN: _info(400, Ran.NO, "The file has an unknown field."),
    ResultCode.SETTING_INVALID: _info(400, Ran.NO, "A field has an invalid value."),
    ResultCode.SETTING_MISSING: _info(400, Ran.NO, "A required field is missing."),
    ResultCode.PEER_UNREACHABLE: _info(503, Ran.NO, "The other node is unreachable."),
    ResultCode.PEER_REFUSED: _info(503, Ran.NO, "The other node refused the message."),
    ResultCode.FRAME_INVALID: _info(
        400, Ran.NO, "A frame between nodes was malformed or not authenticated."
    ),
    ResultCode.LOAD_REPORT_REFUSED: _info(
        403, Ran.NO, "A report of load came from a node that is not listed."
    ),
    ResultCode.INVARIANT_VIOLATED: _info(
        500, Ran.MAYBE, "An invariant failed; the part concerned stopped serving."
    ),
    ResultCode.INTERNAL: _info(500, Ran.MAYBE, "An unexpected error."),
}
"""HTTP status, default ``ran`` and meaning of every result code."""


@attrs.frozen
class Failure:
    """A typed error: result code, detail, whether the request ran, when to retry."""

    code: ResultCode
    message: str
    ran: Ran = Ran.MAYBE
    retry_after_s: float | None = None

    @classmethod
    def from_code(
        cls,
        code: ResultCode,
        message: str = "",
        *,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ) -> Failure:
        """Build a failure with the code's own ``ran`` and meaning as defaults.

        Args:
            code: The numbered result code.
            message: Detail for the reader; the code's meaning when empty.
            ran: Overrides the ``ran`` of ``CODE_TABLE`` where more or less is known.
            retry_after_s: Time after which the caller may retry, in seconds.
        """
        info = CODE_TABLE[code]
        return cls(code, message or info.meaning, ran or info.ran, retry_after_s)

    @property
    def http_status(self) -> int:
        """HTTP status of the response to the caller or operator."""
        return CODE_TABLE[self.code].http_status

    def to_json(self) -> dict[str, object]:
        """Return the error body of the HTTP interfaces."""
        body: dict[str, object] = {
            "code": int(self.code),
            "name": self.code.name,
            "message": self.message,
            "ran": self.ran.value,
        }
        if self.retry_after_s is not None:
            body["retry_after_s"] = self.retry_after_s
        return {"error": body}


def code_table_markdown() -> str:
    """Return the table of ``docs/RESULT-CODES.md``."""
    lines = [
        "| code | name | HTTP status | ran | meaning |",
        "|---|---|---|---|---|",
    ]
    for code, info in CODE_TABLE.items():
        lines.append(
            f"| {int(code)} | {code.name} | {info.http_status} "
            f"| {info.ran.value} | {info.meaning} |"
        )
    return "\n".join(lines) + "\n"
