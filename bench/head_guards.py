"""Guards on heads and ends of answers."""

from __future__ import annotations

from guards_types import Guard

HEADS = "packages/serving/tests/test_broken_heads.py"
OTHER_READERS = "tests/adapter/test_invalid_heads.py"
EARLY = "packages/serving/tests/test_early_answers.py"

HEAD_GUARDS = [
    Guard(
        "MIXED: a status out of range is none",
        "adapter/_answer_head.py",
        "    is_valid = _FIRST_STATUS <= status <= _LAST_STATUS\n",
        "    is_valid = True\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: a first line has the form of the protocol",
        "adapter/_answer_head.py",
        "    if found is None:\n        raise InvalidHead(HeadRule.STATUS_LINE, line)\n",
        "    if found is None:\n        return StatusLine(line, 1, 200)\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: lines end as the protocol says",
        "adapter/_answer_head.py",
        '    if b"\\n" in line or b"\\r" in line:\n',
        "    if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "TWO: a sender whose reports are none has not ended",
        "adapter/_backend_client.py",
        "            return Err(_query_failure(answer.unwrap_err()))\n",
        "            return answer\n",
        f"{OTHER_READERS} -k invalid_head_is_none",
    ),
    Guard(
        "MIXED: a reset ends no body, whoever reads its end late",
        "adapter/_bounded_http.py",
        '            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))\n',
        "            pass\n",
        f"{EARLY} -k reset_during",
    ),
    Guard(
        "MIXED: a whole answer outlasts the rest of its request",
        "adapter/_bounded_http.py",
        "        self._has_ended = True\n        super().connection_lost(None)\n",
        "        return\n",
        f"{EARLY} -k gets_an_early",
    ),
    Guard(
        "MIXED: the name of a field is a token",
        "adapter/_answer_head.py",
        "    if not colon or _TOKEN.fullmatch(name) is None:\n",
        "    if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "LOST: the value of a field can be written",
        "adapter/_answer_head.py",
        "    if _VALUE.fullmatch(value) is None:\n",
        "    if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: a folded line continues a field, and none of them is lost",
        "adapter/_answer_head.py",
        '            self._lines[-1] += b" " + line.strip(_BLANKS)\n',
        "            pass\n",
        f"{HEADS} -k odd_and_sound_fields",
    ),
    Guard(
        "LOST: a head that can't be written leaves room for another answer",
        "serving/_http_reply.py",
        "                self.response = None\n",
        "                pass\n",
        "packages/serving/tests/test_unexpected_ends.py -k cannot_be_written",
    ),
    Guard(
        "MIXED: bytes of a value that are no UTF-8 are not dropped",
        "serving/_reply_heads.py",
        "        undecoded = take_undecoded(self.headers)\n",
        "        undecoded = []\n",
        f"{HEADS} -k fields",
    ),
    Guard(
        "LOST: bytes that are no UTF-8 pass between nodes",
        "protocol/_codec.py",
        'UNDECODED_BYTES = "surrogateescape"\n',
        'UNDECODED_BYTES = "strict"\n',
        "packages/protocol/tests/test_protocol.py -k no_text",
    ),
    Guard(
        "MIXED: a length is a number",
        "adapter/_answer_framing.py",
        "        if not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:\n",
        "        if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: only chunks are a coding, and not beside a length",
        "adapter/_answer_framing.py",
        "        if not is_chunked or head.values(_LENGTH):\n",
        "        if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: what is believed is said once",
        "adapter/_answer_framing.py",
        "    if len(names) > len(set(names)):\n",
        "    if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: an answer without content announces none",
        "adapter/_answer_framing.py",
        "    if announced or head.values(_CODING):\n",
        "    if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: a length that is too short ends no body",
        "adapter/_answer_framing.py",
        "    if not _ANSWER_BEGIN.startswith(surplus[: len(_ANSWER_BEGIN)]):\n",
        "    if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: heads have no more fields than either parser takes",
        "adapter/_answer_framing.py",
        "    if len(head.lines) > MAX_FIELDS:\n",
        "    if False:\n",
        f"{HEADS} -k plain_call_with_a_broken",
    ),
    Guard(
        "MIXED: a head that another node has passed on is checked",
        "node/_relayed_answer.py",
        "        check_relayed_head(head.status, head.headers)\n",
        "",
        "packages/node/tests/test_relayed_requests.py -k invalid_head",
    ),
    Guard(
        "LOST: an odd entry's address is not used",
        "adapter/_backends.py",
        "    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS\n",
        "    is_number = port.isascii() and port.isdigit()\n    port = port[:6]\n",
        "packages/serving/tests/test_odd_entries.py",
    ),
    Guard(
        "store: an odd row leaves the others",
        "adapter/_store_answer.py",
        "        if not isinstance(item, dict):\n",
        "        if False:\n",
        "tests/adapter/test_store_bodies.py -k odd_row",
    ),
    Guard(
        "store: a version is a number",
        "adapter/_store_answer.py",
        "        if type(number) is not int or not 0 <= number <= MAX_INTEGER:\n",
        "        if False:\n",
        "tests/adapter/test_store_bodies.py -k malformed_answer",
    ),
    Guard(
        "operators: a failed status is no success",
        "cli/_client.py",
        "    if status >= _FIRST_FAILURE:\n",
        "    if False:\n",
        "packages/cli/tests/test_odd_answers.py -k failed_status",
    ),
    Guard(
        "MIXED: an end before the request was taken ends no body",
        "adapter/_bounded_http.py",
        "        if is_open_ended and not self._is_request_taken():\n",
        "        if False:\n",
        f"{EARLY} -k before_the_request",
    ),
    Guard(
        "MIXED: a reset behind its sender's end is seen",
        "adapter/_bounded_http.py",
        "        if is_reset(self.transport):\n",
        "        if False:\n",
        f"{EARLY} -k before_the_request",
    ),
    Guard(
        "TWICE: not run beside another status proves nothing",
        "adapter/_headers.py",
        "        is_stated = status in _STATUSES_NOT_RUN\n",
        "        is_stated = True\n",
        f"{HEADS} -k not_run_beside",
    ),
]
