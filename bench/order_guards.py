"""Guards on orders without an answer, and on the memory of a node."""

from __future__ import annotations

from guards_types import Guard

ORDERS = "packages/placement/tests/test_unanswered_orders.py"
MEMORY = "packages/node/tests/test_node_memory.py"

ORDER_GUARDS = [
    Guard(
        "TWO: a head that may join again is opened under a condition",
        "placement/_formations.py",
        "                formation.may_head_join_again = True\n",
        "                pass\n",
        f"{ORDERS} -k joins_again_late",
    ),
    Guard(
        "a formation waits for joins that got no answer",
        "placement/_group_supervisor.py",
        "        return is_own and group.key not in self._serving_since_s\n",
        "        return False\n",
        f"{ORDERS} -k waits_for_a_join",
    ),
    Guard(
        "LOST: a body is dropped once no attempt needs it",
        "serving/crashes/_crash_watch.py",
        "        request.release_body()\n",
        "",
        f"{MEMORY} -k slow_callers",
    ),
    Guard(
        "LOST: long bodies are refused beyond the room of a node",
        "core/_memory_account.py",
        " + size_bytes <= self.capacity_bytes\n",
        " + size_bytes >= 0\n",
        f"{MEMORY} -k beyond_the_room",
    ),
]
