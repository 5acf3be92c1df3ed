"""Guards of what backend servers ask for, and of what proves that one has gone."""

from __future__ import annotations

from guards_types import Guard

SERVING = "packages/serving/tests"

PRESSURE_GUARDS = [
    Guard(
        "limit: a request needs a permit",
        "serving/limits/_permits.py",
        "        if limit is None:\n            return True\n",
        "        return True\n",
        "standins/tests/test_limits_of_engines.py",
    ),
    Guard(
        "limit: permits are counted in one place",
        "serving/limits/_permits.py",
        "            permit = await self._request_permit(node, limit)\n",
        "            permit = None\n",
        f"{SERVING}/test_permits.py -k kept_and_used",
    ),
    Guard(
        "limit: the next issuer gives out less",
        "serving/limits/_permit_issuer.py",
        "    return RANK_FRACTION ** min(rank, MAX_RANK)\n",
        "    return 1.0\n",
        f"{SERVING}/test_permits_stateful.py",
    ),
    Guard(
        "rest: who is held off is left out of the choice of a head",
        "serving/groups/_head_choice.py",
        " if head.backend_id not in blocked]",
        "]",
        f"{SERVING}/test_head_choice.py -k blocked_head",
    ),
    Guard(
        "rest: who rests is no last resort",
        "serving/plain/_backend_choice.py",
        " if b.backend_id not in blocked]",
        "]",
        f"{SERVING}/test_plain_calls.py -k short_backoff",
    ),
    Guard(
        "rest: it ends within a bound",
        "serving/limits/_backpressure.py",
        "min(rest_s, MAX_BLOCK_S - BACKOFF_SPREAD_S)",
        "rest_s",
        f"{SERVING}/test_plain_calls.py -k backoff_of_a_year",
    ),
    Guard(
        "rest and departure: looked at again as the connection stands",
        "serving/_admission.py",
        "        pressure = self.pressure.blocking_reason(backend.backend_id)\n",
        "        pressure = None\n",
        f"{SERVING}/test_plain_calls.py -k while_connecting",
    ),
    Guard(
        "departure: the word goes before the entry",
        "registry/_backend_directory.py",
        "        found = self.departures.apply(found)\n",
        "",
        "packages/registry/tests/test_departures.py",
    ),
    Guard(
        "departure: other nodes are told",
        "serving/limits/_backpressure.py",
        "        for callback in self._leaving_subscribers:\n"
        "            callback(backend_id)\n",
        "",
        "standins/tests/test_departures_told_in_answers.py",
    ),
    Guard(
        "dissolution: an earlier start's entry is no proof",
        "placement/_dissolutions.py",
        "any(head.born_ms and b.born_ms > head.born_ms for b in others)",
        "bool(others)",
        "packages/placement/tests/test_planner.py -k prove_termination",
    ),
    Guard(
        "restart: the newest group's record names a place",
        "registry/_group_records.py",
        "sorted(records, key=lambda record: record.epoch)",
        "list(records)",
        "packages/placement/tests/test_restarts.py -k old_record",
    ),
    Guard(
        "cold: a request to a cold server needs a permit",
        "serving/limits/_permits.py",
        "        if cold.is_active and cold.state(backend) is not None:\n",
        "        if False:\n",
        f"{SERVING}/test_cold_permits.py -k ends_at_all_nodes",
    ),
    Guard(
        "cold: the issuer learns of it from the request",
        "serving/limits/_permits.py",
        "            self.pressure.cold.observe(limit.backend_id, limit.cold)\n",
        "            pass\n",
        f"{SERVING}/test_cold_permits.py -k copy_shows",
    ),
    Guard(
        "cold: a node that is not listed issues nothing",
        "serving/limits/_permits.py",
        "        if self.node_name not in nodes:\n",
        "        if False:\n",
        f"{SERVING}/test_cold_permits.py -k do_not_list",
    ),
    Guard(
        "a start that knows nobody does not take a limit for its own",
        "serving/limits/_permits.py",
        "        if self.node_name not in nodes:\n",
        "        if False:\n",
        f"{SERVING}/test_permits.py -k know_nobody",
    ),
    Guard(
        "cold: few nodes issue for themselves",
        "serving/limits/_cold_budget.py",
        "        return 0.0\n",
        "        return OWN_FRACTION * limit_per_s\n",
        f"{SERVING}/test_cold_permits.py -k every_node_asks",
    ),
    Guard(
        "cold: the sum of all buckets keeps the bound",
        "serving/limits/_cold_budget.py",
        "        return min(max(used, MIN_USED_FRACTION), USED_FRACTION)\n",
        "        return USED_FRACTION\n",
        f"{SERVING}/test_cold_permits.py -k all_buckets",
    ),
    Guard(
        "cold: the most recent report counts",
        "serving/limits/_cold_backends.py",
        "        if known is not None and report.observed_s <= known.observed_s:\n",
        "        if False:\n",
        f"{SERVING}/test_cold_backends.py -k most_recent",
    ),
    Guard(
        "cold: a zone that returns is presumed cold",
        "serving/limits/_cold_backends.py",
        "            if backend.zone == zone and backend.service in self._services:\n",
        "            if False:\n",
        f"{SERVING}/test_cold_backends.py -k zone_that_returns",
    ),
]
