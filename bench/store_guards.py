"""Guards of what holds when the store comes back from an older copy."""

from __future__ import annotations

from guards_types import Guard

RETURNS = "standins/tests/test_store_comes_back_older.py"
LEASES = "packages/placement/tests/test_lease_over_restores.py"
ENTRIES = "packages/registry/tests/test_restored_entries.py"
CLAIMS = "packages/daemon/tests/test_at_most_once.py"
COPIES = "packages/registry/tests/test_table_copy.py"

STORE_GUARDS = [
    Guard(
        "return of an older store: an answer of a later generation is read whole",
        "registry/_table_source.py",
        "        if found.version.generation > after_version.generation:\n",
        "        if False:\n",
        f"{RETURNS} -k given_out_twice",
    ),
    Guard(
        "return of an older store: who knew what was lost gets everything",
        "registry/_table_copy.py",
        "        return last is not None and version <= last\n",
        "        return True\n",
        f"{COPIES} -k later_version_before",
    ),
    Guard(
        "return of an older store: who came into a generation earlier gets everything",
        "registry/_table_copy.py",
        "            return version >= self.generation_start\n",
        "            return True\n",
        f"{COPIES} -k earlier_version_of",
    ),
    Guard(
        "return of an older store: a condition of an earlier generation is not sent",
        "adapter/_store.py",
        "        if outdated is not None:\n",
        "        if False:\n",
        "tests/adapter/test_store_versions.py -k condition",
    ),
    Guard(
        "return of an older store: terms of the planner rise",
        "placement/_planner_lease.py",
        "    return version.generation * VERSIONS_PER_GENERATION + version.number\n",
        "    return version.number\n",
        f"{LEASES} -k rise_over",
    ),
    Guard(
        "return of an older store: a number given out twice makes no second planner",
        "placement/_planner_lease.py",
        "        if result.version.generation != replaced.generation:\n",
        "        if False:\n",
        f"{LEASES} -k reused_version",
    ),
    Guard(
        "return of an older store: whoever held the lease is waited out",
        "placement/_planner_lease.py",
        "        is_free = found.is_current and found.holder in",
        "        is_free = found.holder in",
        f"{LEASES} -k copy_without",
    ),
    Guard(
        "return of an older store: the planner goes on under its own copied lease",
        "placement/_planner_lease.py",
        "or self._may_resume(found):",
        "or False:",
        f"{LEASES} -k short_restore",
    ),
    Guard(
        "return of an older store: who serves goes on until it writes again",
        "registry/_backend_directory.py",
        "        if self._restored.may_be_outdated(registered_id, found, known):\n",
        "        if False:\n",
        f"{ENTRIES} -k outlasts",
    ),
    Guard(
        "return of an older store: who leaves never takes that back",
        "registry/_backend_directory.py",
        "            self.departures.add(known.backend_id)\n",
        "            pass\n",
        f"{ENTRIES} -k stays_draining",
    ),
    Guard(
        "return of an older store: who is gone is not taken for a new one",
        "registry/_restored_entries.py",
        "        return self.timer.now_s() - removed_s < REMOVAL_RETENTION_S\n",
        "        return False\n",
        f"{ENTRIES} -k does_not_reappear",
    ),
    Guard(
        "return of an older store: entries that it lacks have their grace",
        "registry/_table_follower.py",
        "        self.outage_ended_s = self.timer.now_s()\n        metrics",
        "        metrics",
        f"{ENTRIES} -k outlasts",
    ),
    Guard(
        "return of an older store: own rows are written again",
        "registry/_row_restorer.py",
        "        self.write(merged.lost, copy)\n",
        "        pass\n",
        f"{RETURNS} -k own_rows",
    ),
    Guard(
        "return of an older store: own rows are known meanwhile",
        "registry/_row_restorer.py",
        "        return merged.update\n",
        "        return update\n",
        f"{RETURNS} -k own_rows",
    ),
    Guard(
        "return of an older store: a node that lost its row registers again",
        "node/_registration.py",
        "            if self.shared.is_read and not self._is_registered():\n",
        "            if False:\n",
        f"{RETURNS} -k registers_again",
    ),
    Guard(
        "return of an older store: who starts learns the newest configuration",
        "registry/_store_view.py",
        "            return configuration.replace_others(update)\n",
        "            return update\n",
        f"{RETURNS} -k starts_after",
    ),
    Guard(
        "return of an older store: a claim that it has lost is written again",
        "chat/_claim_restorer.py",
        '        self._tasks.spawn(self._rewrite_all(generation), "keep-claims")\n',
        "        self._rewritten = generation\n",
        f"{CLAIMS} -k restored",
    ),
    Guard(
        "return of an older store: nothing is claimed before that",
        "chat/_claim_restorer.py",
        "        return self._is_open\n",
        "        return True\n",
        f"{CLAIMS} -k restored",
    ),
    Guard(
        "return of an older store: an operators' file is written again",
        "registry/_store_view.py",
        "                row_restorer.write(configuration.lost(update), "
        "operators.copy)\n",
        "                pass\n",
        f"{CLAIMS} -k file_lost",
    ),
]
