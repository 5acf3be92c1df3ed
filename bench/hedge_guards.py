"""Guards on attempts beside a run that is silent."""

from __future__ import annotations

from guards_types import Guard

STREAMS = "packages/serving/tests/test_hedged_streams.py"
CALLS = "packages/serving/tests/test_hedged_calls.py"
ENDS = "packages/serving/tests/test_ends_of_answers.py"
WAITS = "packages/serving/tests/test_waits_for_ends.py"

HEDGE_GUARDS = [
    Guard(
        "LOST: silence ends no run of a stream",
        "serving/streams/_silence_watch.py",
        "        stream.hedging.hedge(self.begin_attempt(stream))\n",
        "        raise RunFailed(SendProblem.SILENT, detail)\n",
        f"{STREAMS} -k if_no_other_run_can",
    ),
    Guard(
        "LOST: a failure of another backend server ends no run of a call",
        "serving/plain/_plain_run.py",
        "    if answer.status >= _SERVER_ERROR:\n",
        "    if False:\n",
        f"{CALLS} -k late_answer",
    ),
    Guard(
        "ORDER: a run leads only with the event that is next",
        "serving/streams/_stream_run.py",
        "        stream.order.check_next(new)\n",
        "",
        f"{STREAMS} -k skips_an_event",
    ),
    Guard(
        "BUDGET: an attempt beside the first one uses a retry",
        "serving/_request.py",
        "        return self.arrivals == 0 and not self.attempts\n",
        "        return self.arrivals == 0\n",
        f"{STREAMS} -k uses_a_retry",
    ),
    Guard(
        "BUDGET: an attempt that is cancelled may have run",
        "serving/_request.py",
        "        if self.is_being_sent and not self.has_arrived:\n",
        "        if False:\n",
        f"{STREAMS} -k counts_as_run",
    ),
    Guard(
        "LOST: a process that stands still at the end of its answer has not ended",
        "serving/exchange/_answer_end.py",
        "reach_patiently(backend)\n            # A witness",
        "reach(backend)\n            # A witness",
        f"{ENDS} -k stands_still_after",
    ),
    Guard(
        "MIXED: a witness that answers before a link breaks confirms no end",
        "serving/exchange/_answer_end.py",
        "is_witness_late = not witness.done()",
        "is_witness_late = True",
        f"{WAITS} -k link_that_comes_back",
    ),
]
