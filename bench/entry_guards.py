"""Guards on entries of any making, on later starts under one id, and on shares."""

from __future__ import annotations

from guards_types import Guard

DIRECTORY = "packages/registry/tests/test_backend_directory.py"
RESTARTS = "packages/placement/tests/test_restarts.py"

ENTRY_GUARDS = [
    Guard(
        "entries: a spoiled one takes away whom it named",
        "registry/_backend_directory.py",
        '        self._remove_backend(entry, "entry unreadable")\n',
        "        pass\n",
        f"{DIRECTORY} -k malformed",
    ),
    Guard(
        "entries: a place in a state that nobody names is none",
        "adapter/_decoding.py",
        "            return kind(text)\n",
        "            return kind(text) if text in [*kind] else fallback\n",
        "tests/adapter/test_backend_entries.py -k malformed",
    ),
    Guard(
        "entries: nesting that is too deep raises nothing else",
        "adapter/_decoding.py",
        "    except (ValueError, RecursionError) as error:\n",
        "    except ValueError as error:\n",
        "tests/adapter/test_backend_entries.py -k malformed",
    ),
    Guard(
        "starts: an earlier one's entry never replaces a later one's",
        "registry/_backend_directory.py",
        "        if found.born_ms < self._starts.newest_ms(registered_id):\n",
        "        if False:\n",
        f"{DIRECTORY} -k earlier_starts",
    ),
    Guard(
        "starts: who does not tell its start is not used where others do",
        "registry/_backend_directory.py",
        "        if is_required and not found.born_ms:\n",
        "        if False:\n",
        f"{DIRECTORY} -k without_start_time",
    ),
    Guard(
        "PARTIAL: a member that started again breaks its group",
        "registry/_backend_directory.py",
        "            self._broken_groups.add(known.membership.key)\n",
        "            pass\n",
        f"{DIRECTORY} -k member_restarted_accepts",
    ),
    Guard(
        "PARTIAL: a later start is not its group's member by a late order",
        "placement/_known_members.py",
        "                self._restarted.add(group.key)\n",
        "                pass\n",
        f"{RESTARTS} -k new_planner_is_not_misled",
    ),
    Guard(
        "TWO: a server error does not prove that a process has ended",
        "placement/_loss_check.py",
        "                self._paused_until_s[backend.backend_id] = paused_until_s\n",
        "                self._record_loss(backend.backend_id, is_replaced=True)\n",
        "packages/placement/tests/test_grey_heads.py -k fails_reports",
    ),
    Guard(
        "TWO: a server taken for ended by mistake is probed again",
        "placement/_loss_check.py",
        "        if backend_id in self.dead and backend_id not in self._probing:\n",
        "        if False:\n",
        "packages/placement/tests/test_grey_heads.py -k used_again",
    ),
    Guard(
        "TWO: another start under the id is no sign of life",
        "registry/_responder.py",
        "    if report.born_ms == backend.born_ms:\n",
        "    if report.born_ms:\n",
        "tests/adapter/test_backend_reports.py",
    ),
    Guard(
        "PARTIAL: who has left its group is not only unlisted",
        "placement/_group_supervisor.py",
        "        if any(m.backend_id in listed for m in absent):\n",
        "        if False:\n",
        "packages/placement/tests/test_healing.py -k has_left",
    ),
    Guard(
        "routing: a zone's few groups are not drowned by its nodes",
        "serving/groups/_head_choice.py",
        "OTHER_ZONE_COST / max(self.node_count(), 1)",
        "OTHER_ZONE_COST / 8",
        "packages/serving/tests/test_head_choice.py -k overloaded",
    ),
]
