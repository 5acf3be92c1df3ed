"""The guards of the platform's rules, to be taken out by ``guards.py``."""

from __future__ import annotations

from guards_types import Guard

SERVING = "packages/serving/tests"
PLACEMENT = "packages/placement/tests/test_planner.py"
REGISTRY = "packages/registry/tests"
ADAPTER = "tests/adapter"

PLATFORM_GUARDS = [
    Guard(
        "MIXED: an answer must bear the request's own id",
        "serving/_exchange.py",
        "        if foreign or fields.has_encoding or not fields.is_signed:\n",
        "        if fields.has_encoding or not fields.is_signed:\n",
        f"{SERVING}/test_plain_calls.py -k answers_another",
    ),
    Guard(
        "MIXED: an answer must be signed and not encoded",
        "serving/_exchange.py",
        "        if foreign or fields.has_encoding or not fields.is_signed:\n",
        "        if foreign:\n",
        f"{SERVING}/test_plain_calls.py -k encodes",
    ),
    Guard(
        "MIXED: a reset does not end an answer without length",
        "serving/_exchange.py",
        "        if isinstance(error, OSError):\n",
        "        if False:\n",
        f"{SERVING}/test_plain_calls.py -k resets_without_length",
    ),
    Guard(
        "MIXED, ORDER: a broken stream never looks complete",
        "serving/_stream_call.py",
        "            await stream.reply.abort()\n",
        "            await stream.reply.end()\n",
        f"{SERVING}/test_stream_calls.py -k never_looks_complete",
    ),
    Guard(
        "ORDER: only whole events pass",
        "serving/_stream_call.py",
        "        if splitter.has_rest:\n",
        "        if False:\n",
        f"{SERVING}/test_stream_calls.py -k ends_within_an_event",
    ),
    Guard(
        "ORDER: no event is missing",
        "serving/_events.py",
        "            if event.number > self.last + 1:\n",
        "            if False:\n",
        f"{SERVING}/test_stream_calls.py -k skips_an_event",
    ),
    Guard(
        "ORDER: no event comes twice",
        "serving/_events.py",
        "            if event.number <= self.last:\n",
        "            if False:\n",
        f"{SERVING}/test_parts.py -k once_and_in_order",
    ),
    Guard(
        "TWICE: a plain call that may have run is not sent again",
        "serving/_plain_call.py",
        "        if request.ran_at and not request.route.is_repeatable:\n",
        "        if False:\n",
        f"{SERVING}/test_plain_calls.py -k not_sent_again",
    ),
    Guard(
        "TWICE: a stream that may not be resumed runs once",
        "serving/_stream_call.py",
        "        if not request.route.is_repeatable:\n            return False\n",
        "        if False:\n            return False\n",
        f"{SERVING}/test_stream_calls.py -k may_not_be_resumed",
    ),
    Guard(
        "BUDGET: no more backend servers run a request than the route allows",
        "serving/_plain_call.py",
        "        if ran >= request.route.attempts:\n",
        "        if False:\n",
        f"{SERVING}/test_plain_calls.py -k no_more_backends",
    ),
    Guard(
        "BUDGET: nodes share the budget for repeats",
        "serving/_repeat_budget.py",
        "        slack = self.bounds.retry_slack / self._most_nodes()\n",
        "        slack = self.bounds.retry_slack\n",
        f"{SERVING}/test_parts.py -k nodes_together",
    ),
    Guard(
        "GONE: a caller that leaves ends the work",
        "serving/_http_server.py",
        "            handler_cancellation=True,\n",
        "            handler_cancellation=False,\n",
        f"{SERVING}/test_plain_calls.py -k caller_that_leaves",
    ),
    Guard(
        "DRAIN: leaving backend servers get nothing",
        "registry/_backend_directory.py",
        " if b.state is BackendState.READY]",
        "]",
        f"{SERVING}/test_plain_calls.py -k leaving_backends",
    ),
    Guard(
        "DRAIN: entries that lapsed in an outage go after two seconds",
        "registry/_backend_directory.py",
        "        for backend_id in due:\n",
        "        for backend_id in ():\n",
        f"{REGISTRY}/test_store_view.py -k lapsed",
    ),
    Guard(
        "CONFIG: a version never falls",
        "registry/_configuration_in_force.py",
        "        if found.version <= self.version:\n",
        "        if found.version == self.version:\n",
        f"{REGISTRY}/test_store_view.py -k never_falls",
    ),
    Guard(
        "CONFIG: a forgotten history is made up for by reading whole",
        "registry/_table_follower.py",
        "            got = await self.source.update(self.table, NOTHING, 0.0)\n",
        "            pass\n",
        f"{REGISTRY}/test_store_view.py -k forgotten_history",
    ),
    Guard(
        "CONFIG: keys are not used without a fresh confirmation",
        "serving/_node_state.py",
        "        if self.view.configuration_age_s() > self.fresh_s:\n",
        "        if False:\n",
        f"{SERVING}/test_door.py -k without_confirmation",
    ),
    Guard(
        "CONFIG: a relayed confirmation carries its age",
        "registry/_table_follower.py",
        "sent_s - update.age_s)",
        "sent_s)",
        f"{REGISTRY}/test_relay.py -k nobodys_age",
    ),
    Guard(
        "DENIED: a node out of touch denies nothing for good",
        "serving/_admission.py",
        "        if self.state.view.configuration_age_s() > REFUSE_CERTAIN_S:\n",
        "        if False:\n",
        f"{SERVING}/test_door.py -k denies_nothing",
    ),
    Guard(
        "UNASKED: two keys are none",
        "serving/_admission.py",
        " if len(api_keys) == 1 else None",
        " if api_keys else None",
        f"{SERVING}/test_door.py -k two_keys",
    ),
    Guard(
        "UNASKED: headers of the system are its own",
        "adapter/_headers.py",
        "    dropped = (_ONE_CONNECTION | _SET_BY_SYSTEM | named) - _ALWAYS_FORWARDED\n",
        "    dropped = _ONE_CONNECTION | named\n",
        f"{ADAPTER}/test_headers.py",
    ),
    Guard(
        "REFUSED: only a proof counts as not run",
        "adapter/_headers.py",
        "    elif NOT_EXECUTED in headers:\n",
        "    elif status == 503:\n",
        f"{ADAPTER}/test_headers.py -k only_a_proof",
    ),
    Guard(
        "TWO: members wait until their head no longer serves",
        "placement/_planner.py",
        " | self.dissolutions.member_ids()\n        free",
        "\n        free",
        f"{PLACEMENT} -k dark_head",
    ),
    Guard(
        "TWO: silence alone frees nobody",
        "placement/_dissolutions.py",
        "            if member.backend_id in self.losses.replaced:\n",
        "            if member.backend_id in self.losses.dead:\n",
        f"{PLACEMENT} -k out_of_the_planners",
    ),
    Guard(
        "PARTIAL: a head is opened when every member is ready",
        "placement/_groups_seen.py",
        "    if states == {MemberState.READY} and len(members) == model.size:\n",
        "    if head_state is MemberState.READY:\n",
        f"{PLACEMENT} -k random_troubles",
    ),
    Guard(
        "CEILING: who still loads has not served the model",
        "placement/_planner.py",
        "            if place is not None and place.state is not MemberState.JOINING:\n",
        "            if place is not None:\n",
        f"{PLACEMENT} -k still_loads",
    ),
    Guard(
        "CEILING: loads are few at a time",
        "placement/_staging.py",
        "            if are_loads_free or len(self._active) < layout.profile.loads_at_once:\n",
        "            if True:\n",
        f"{PLACEMENT} -k few_at_a_time",
    ),
    Guard(
        "planner: a lost lease ends planning",
        "placement/_planner_lease.py",
        "        return self.timer.now_s() < self._valid_until_s\n",
        "        return self._was_holder\n",
        f"{PLACEMENT} -k another_node_plans",
    ),
]
