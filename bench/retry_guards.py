"""Guards of the retry budget that all starts of all nodes keep together."""

from __future__ import annotations

from guards_types import Guard

BUDGETS = "packages/budgets/tests"
SERVING = "packages/serving/tests/test_retry_budget.py"

RETRY_GUARDS = [
    Guard(
        "BUDGET: the first starts take retries from a store that was never restored",
        "serving/retries/_slack_pool.py",
        "        if page.is_generation_named and generation == 0:\n",
        "        if False:\n",
        f"{SERVING} -k first_starts_take",
    ),
    Guard(
        "BUDGET: a store that names no generation may have been restored",
        "serving/retries/_slack_pool.py",
        "page.is_generation_named and generation == 0:\n",
        "generation == 0:\n",
        f"{SERVING} -k doubts_a_missing_row",
    ),
    Guard(
        "BUDGET: a malformed row is written anew",
        "serving/retries/_slack_pool.py",
        "                if state.is_malformed:\n",
        "                if False:\n",
        f"{SERVING} -k written_anew",
    ),
    Guard(
        "BUDGET: nodes share the slack",
        "budgets/_slack_share.py",
        "self.terms.divided_slack / self.node_count()",
        "self.terms.divided_slack",
        f"{SERVING} -k nodes_together",
    ),
    Guard(
        "BUDGET: a start waits until what earlier ones have used is out of the window",
        "budgets/_slack_share.py",
        "        if self.steady_s(now_s) < self.terms.hold_off_s:\n",
        "        if False:\n",
        f"{SERVING} -k starts_of_all_nodes_in_series",
    ),
    Guard(
        "BUDGET: nodes that have withdrawn still count",
        "budgets/_slack_share.py",
        "        forgotten_s = now_s - self.terms.hold_off_s\n",
        "        forgotten_s = now_s - 1.0\n",
        f"{BUDGETS}/test_slack_share.py -k withdrawn",
    ),
    Guard(
        "BUDGET: a node that is cut off uses no slack",
        "budgets/_slack_share.py",
        "        if now_s - self._confirmed_s > self.terms.max_view_age_s:\n"
        "            return 0.0\n",
        "",
        f"{BUDGETS}/test_slack_share.py -k too_old",
    ),
    Guard(
        "BUDGET: added nodes wait until cut-off ones have stopped",
        "budgets/_retry_terms.py",
        "        return longest_use_s + self.max_view_age_s\n",
        "        return longest_use_s\n",
        f"{BUDGETS}/test_retry_budget_of_all_starts.py -k added_nodes",
    ),
    Guard(
        "BUDGET: requests that move to another node earn nothing twice",
        "budgets/_retry_ledger.py",
        "            counted += (1.0 - SAME_WINDOW_FRACTION) * before\n",
        "            counted += before\n",
        f"{BUDGETS}/test_retry_ledger.py -k move_between",
    ),
    Guard(
        "BUDGET: a lender counts what it has lent",
        "budgets/_retry_ledger.py",
        "            self._retries.add(now_s + self.terms.loan_s, given)\n",
        "            pass\n",
        f"{BUDGETS}/test_retry_ledger.py -k lent_retries",
    ),
    Guard(
        "BUDGET: a retry that is held up is checked again",
        "serving/retries/_retry_budget.py",
        "        return self._spend(ticket.service) is not None\n",
        "        return True\n",
        f"{SERVING} -k opens_late",
    ),
    Guard(
        "BUDGET: requests that waited for a halted process earn nothing",
        "serving/retries/_retry_budget.py",
        "        if now_s >= self._credit_from_s:\n",
        "        if True:\n",
        f"{SERVING} -k halt",
    ),
    Guard(
        "BUDGET: a retry that was not sent is not lost",
        "serving/_request.py",
        "            self.retry.take_back()\n",
        "            pass\n",
        f"{SERVING} -k given_back",
    ),
    Guard(
        "BUDGET: starts that take from the store at once share it",
        "serving/retries/_slack_pool.py",
        "            {key: state.version}, {key: row.to_bytes()}",
        "            {}, {key: row.to_bytes()}",
        f"{SERVING} -k at_the_same_time",
    ),
    Guard(
        "BUDGET: a restored store grants nothing twice",
        "serving/retries/_slack_pool.py",
        "        elif row.generation != page.version.generation:\n",
        "        elif False:\n",
        f"{SERVING} -k restored",
    ),
    Guard(
        "BUDGET: the store's part is left alone while older nodes divide all of it",
        "node/_retry_lending.py",
        "        self.budget.is_pool_open = bool(lends) and all(lends)\n",
        "        self.budget.is_pool_open = True\n",
        "packages/node/tests/test_retry_lending.py -k older",
    ),
]
