"""The guards of admission control under scarcity."""

from __future__ import annotations

from guards_types import Guard

DECISIONS = "packages/scheduling/tests/test_decisions.py"
SCARCITY = "packages/scheduling/tests/test_scarcity.py"
CONTROL = "packages/serving/tests/test_admission_control.py"

SCARCITY_GUARDS = [
    Guard(
        "scarcity: what comes after its caller gave up is refused",
        "scheduling/_decision.py",
        "    is_in_time = expected_s <= request.give_up_in_s\n",
        "    is_in_time = True\n",
        f"{DECISIONS} -k what_is_decided",
    ),
    Guard(
        "scarcity: nothing is refused late",
        "scheduling/_decision.py",
        "        return self.held_s <= REFUSAL_FRACTION * self.goal_s\n",
        "        return True\n",
        f"{DECISIONS} -k what_is_decided",
    ),
    Guard(
        "scarcity: a returning caller is not refused again",
        "scheduling/_decision.py",
        "(request.is_returning and capacity.serves)",
        "False",
        f"{SCARCITY} -k herd",
    ),
    Guard(
        "scarcity: without totals nothing is refused while a group is open",
        "scheduling/_decision.py",
        "    if not capacity.is_recent and capacity.serves:\n",
        "    if False:\n",
        f"{CONTROL} -k old_totals",
    ),
    Guard(
        "scarcity: less urgent requests leave room in the queues",
        "scheduling/_decision.py",
        "    return FULL_QUEUE_FRACTION * (1.0 - level / (2.0 * max(ranks, 1)))\n",
        "    return FULL_QUEUE_FRACTION\n",
        f"{CONTROL} -k waits_for_room",
    ),
    Guard(
        "scarcity: the excess of a workspace is marked",
        "scheduling/_fair_share.py",
        "        if use.credit < busy_s:\n",
        "        if False:\n",
        f"{SCARCITY} -k ten_times",
    ),
    Guard(
        "scarcity: a retry time is at most a third of the time left",
        "scheduling/_retry_times.py",
        "        if retry_after_s <= most_s:\n",
        "        if True:\n",
        f"{DECISIONS} -k a_third",
    ),
    Guard(
        "scarcity: services with one priority keep their decisions",
        "catalog/_configuration.py",
        "        return service in self._services_with_urgency_classes\n",
        "        return True\n",
        f"{CONTROL} -k one_priority",
    ),
    Guard(
        "scarcity: a caller that disconnects leaves the line",
        "serving/_admission_control.py",
        "        state.admission.leave(held)\n",
        "",
        f"{CONTROL} -k disconnects",
    ),
    Guard(
        "scarcity: a head with a full queue is left out",
        "serving/_admission_control.py",
        "        full = self._full_heads(held)\n",
        "        full = []\n",
        f"{CONTROL} -k full_queue",
    ),
]
