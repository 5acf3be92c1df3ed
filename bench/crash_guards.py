"""The guards against contents that end servers and against suspensions."""

from __future__ import annotations

from guards_types import Guard

SERVING = "packages/serving/tests"

CRASH_GUARDS = [
    Guard(
        "crash: a quarantined content is not sent",
        "serving/_admission.py",
        "            or self.quarantine.refusal(request)\n",
        "",
        f"{SERVING}/test_quarantined_calls.py -k plain_call",
    ),
    Guard(
        "crash: a connection that breaks is no end of a server",
        "serving/crashes/_crash_watch.py",
        "            return answer.unwrap_err().code is ResultCode.BACKEND_REFUSED\n",
        "            return True\n",
        f"{SERVING}/test_crash_watch.py -k unanswered_probe",
    ),
    Guard(
        "crash: the cause of an end frees the others that were there",
        "serving/crashes/_crash_cause.py",
        "                del seen[backend]\n",
        "                pass\n",
        f"{SERVING}/test_quarantine.py -k explains_its_crashes",
    ),
    Guard(
        "crash: a whole answer clears a content",
        "serving/crashes/_crash_watch.py",
        "            self.row_writer.remove(self.quarantine.clear(features.content))\n",
        "            pass\n",
        f"{SERVING}/test_quarantined_calls.py -k removes_the_published",
    ),
    Guard(
        "crash: parts of prompts are features of requests",
        "serving/_request_features.py",
        "        return (self.content, *self.parts) if self.content else ()\n",
        "        return (self.content,) if self.content else ()\n",
        f"{SERVING}/test_quarantined_calls.py -k part_that_crashed_two",
    ),
    Guard(
        "crash: parts at the same crashes are a cause only together",
        "serving/crashes/_crash_cause.py",
        "    return causes + together\n",
        "    return causes + [\n"
        "        CrashCause.of((f,), b) for b, fs in parts.items() for f in fs\n"
        "    ]\n",
        f"{SERVING}/test_quarantine.py -k all_parts_of_a_cause",
    ),
    Guard(
        "crash: a proof excuses a part",
        "serving/crashes/_part_proofs.py",
        "        return crash_s <= proven_s + PROOF_HOLDS_S\n",
        "        return False\n",
        f"{SERVING}/test_quarantine.py -k proven_part",
    ),
    Guard(
        "crash: proofs are shared",
        "registry/_shared_rows.py",
        "            self.proven_parts[part] = self.timer.now_s()\n",
        "            pass\n",
        f"{SERVING}/test_quarantine.py -k proof_in_the_store",
    ),
    Guard(
        "crash: a likely cause has no second run",
        "serving/crashes/_crash_watch.py",
        "        return not (is_likely and check.has_crashed)\n",
        "        return True\n",
        f"{SERVING}/test_quarantined_calls.py -k part_that_crashed_two",
    ),
    Guard(
        "answers without length: complete only if the server is reached",
        "serving/exchange/_answer_end.py",
        "            return EndEvidence.NOT_REACHED\n",
        "            return EndEvidence.THIS_START\n",
        f"{SERVING}/test_answers_without_length.py -k not_reached",
    ),
    Guard(
        "answers without length: another process is no sign of life",
        "registry/_responder.py",
        "        return Responder.OTHER_PROCESS\n    if is_misdirected:\n",
        "        return Responder.THIS_START\n    if is_misdirected:\n",
        f"{SERVING}/test_ends_of_answers.py -k another_process",
    ),
    Guard(
        "answers without length: a nameless process is none on a new connection",
        "serving/exchange/_answer_end.py",
        "        case Responder.UNNAMED | Responder.UNKNOWN:\n"
        "            return None\n",
        "        case Responder.UNNAMED:\n            return EndEvidence.THIS_START\n",
        f"{SERVING}/test_ends_of_answers.py -k another_process",
    ),
    Guard(
        "answers without length: a start that isn't named proves nothing",
        "registry/_responder.py",
        "    if backend.born_ms:\n        return _compare_starts",
        "    if False:\n        return _compare_starts",
        f"{SERVING}/test_ends_of_answers.py -k start_again",
    ),
    Guard(
        "answers without length: the sender holds another connection",
        "serving/exchange/_process_witness.py",
        "                self.query, query = query, self.query\n",
        "                pass\n",
        f"{SERVING}/test_ends_of_answers.py -k lasting_answer",
    ),
    Guard(
        "answers without length: a stream without an event is broken off",
        "serving/streams/_stream_ending.py",
        "    elif stream.order.last is None and not stream.events:\n",
        "    elif False:\n",
        f"{SERVING}/test_answers_without_length.py -k without_any_event",
    ),
    Guard(
        "answers without length: the relaying node confirms the end",
        "node/_relay_server.py",
        "            if not await self.path.exchange.confirms_end(answer, left_s):\n",
        "            if False:\n",
        "packages/node/tests/test_relayed_requests.py -k does_not_confirm",
    ),
    Guard(
        "crash: runs under way are stopped",
        "serving/streams/_stream_run.py",
        "                progress.step.cancel()\n",
        "                pass\n",
        "standins/tests/test_requests_that_end_engines.py -k all_at_once",
    ),
    Guard(
        "crash: other nodes hear of it while the store is away",
        "node/_crash_gossip.py",
        "        self.crashes.subscribe(self.send)\n",
        "        pass\n",
        "standins/tests/test_requests_that_end_engines.py -k outage_of_the_store",
    ),
    Guard(
        "crash: a model that ends its members is held off",
        "placement/_crash_loops.py",
        "        if beyond < 0:\n",
        "        if True:\n",
        "packages/placement/tests/test_crash_loops.py -k alone",
    ),
    Guard(
        "suspension: the timer counts it",
        "core/_timer.py",
        "time() + self.suspension.total_s\n",
        "time()\n",
        f"{SERVING}/test_suspended_node.py -k meanwhile",
    ),
    Guard(
        "suspension: what may no longer be sent is not, once connected",
        "serving/exchange/_exchange.py",
        "trace_configs=[trace]",
        "trace_configs=[]",
        f"{SERVING}/test_suspended_node.py -k connecting",
    ),
    Guard(
        "suspension: deadlines are brought forward",
        "core/_timer.py",
        "                deadline.reschedule(when_s - suspended_s)\n",
        "                pass\n",
        "packages/core/tests/test_suspension.py -k ends_the_wait",
    ),
]
