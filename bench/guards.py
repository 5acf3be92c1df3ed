"""Takes each guard out, in a copy, and shows that its test turns red.

A guard whose removal leaves its test green is not proved by it; the run then fails.
The results go into ``bench/results/guards.md``, which ``docs/PROOFS.md`` cites.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from guards_types import Guard
from platform_guards import PLATFORM_GUARDS

ROOT = Path(__file__).parent.parent
AT_ONCE = 4
TESTS = "packages/daemon/tests"


GUARDS = [
    Guard(
        "the claim is written before the dispatch",
        "routing/_home.py",
        "        if dispatch.idempotency_key:\n",
        "        if False:\n",
        f"{TESTS}/test_at_most_once.py::test_repeats_at_the_same_time_on_every_node_run_once",
    ),
    Guard(
        "a claim is written only where there is none",
        "routing/_batcher.py",
        "            return VersionCheck(self.key, 0)\n",
        '            return VersionCheck("no-such-row", 0)\n',
        f"{TESTS}/test_at_most_once.py::test_repeats_at_the_same_time_on_every_node_run_once",
    ),
    Guard(
        "a claim's request digest is compared",
        "routing/_entry.py",
        '        if present.row.value["digest"] != key.request_digest:\n',
        "        if False:\n",
        f"{TESTS}/test_at_most_once.py::test_key_used_for_another_request_is_refused",
    ),
    Guard(
        "a lost answer of the claim write is read back",
        "routing/_batcher.py",
        "                outcomes.update(await self.judge(left))\n",
        "                outcomes.update({w.key: ClaimOutcome(UNKNOWN) for w in left})\n",
        f"{TESTS}/test_at_most_once.py::test_lost_answer_of_the_claim_write_runs_once",
    ),
    Guard(
        "only the same start of an engine proves that a request never ran",
        "routing/_entry.py",
        ' and outcome.boot_id == target["boot_id"]',
        "",
        f"{TESTS}/test_at_most_once.py::test_engine_that_restarted_proves_nothing",
    ),
    Guard(
        "a claim's holder is known by its start",
        "routing/_claims.py",
        "        return record.started == started\n",
        "        return True\n",
        f"{TESTS}/test_at_most_once.py::test_holder_that_started_anew_does_not_hold_up_a_repeat",
    ),
    Guard(
        "work that may not be repeated is not tried again",
        "routing/_entry.py",
        "        if not request.repeatable or failure.code not in _CONTINUE_ELSEWHERE:\n",
        "        if failure.code not in _CONTINUE_ELSEWHERE:\n",
        f"{TESTS}/test_answers.py -k may_not_be_repeated",
    ),
    Guard(
        "a claimed request is finished though its caller has gone",
        "routing/_home.py",
        "        if dispatch.repeatable:\n",
        "        if True:\n",
        f"{TESTS}/test_at_most_once.py::test_caller_that_goes_away_still_finds_its_answer",
    ),
    Guard(
        "plain calls are not sent again by the HTTP library",
        "engine/_http.py",
        "            self._plain_session._retry_connection = False\n",
        "",
        "packages/engine/tests/test_http_engine_client.py",
    ),
    Guard(
        "an answer names its request, group and epoch",
        "routing/_home.py",
        "            if (part.request_id, part.group_id, part.epoch) != names:\n",
        "            if False:\n",
        f"{TESTS}/test_answers.py -k another",
    ),
    Guard(
        "a token that came before is dropped",
        "routing/_stream.py",
        "        if index < self.next_index:\n            return Ok([])\n",
        "        if index < self.next_index:\n            return Ok([(index, text)])\n",
        "packages/routing/tests/test_stream.py",
    ),
    Guard(
        "an answer ends only with all its tokens",
        "routing/_stream.py",
        "        if self.next_index != tokens or self._held:\n",
        "        if False:\n",
        "packages/routing/tests/test_stream.py",
    ),
    Guard(
        "a stream without its end mark is not whole",
        "routing/_home.py",
        "        return Err(Failure.from_code(ResultCode.STREAM_INCOMPLETE))\n",
        '        return Ok(_Completed("", Finish("", "", 0, "stop", assembler.next_index)))\n',
        f"{TESTS}/test_answers.py -k truncated",
    ),
    Guard(
        "a silent stream of a group without permit is broken off",
        "routing/_home.py",
        "            if (silent_s > STALL_AFTER_S and lost) or silent_s > SILENCE_LIMIT_S:\n",
        "            if False:\n",
        f"{TESTS}/test_answers.py -k frozen_engine",
    ),
    Guard(
        "a caller that goes away cancels the work",
        "routing/_entry.py",
        "            self.loads.ended(row.group_id)\n            await channel.close()\n",
        "            self.loads.ended(row.group_id)\n",
        f"{TESTS}/test_answers.py -k goes_away",
    ),
    Guard(
        "a full queue refuses at once",
        "routing/_desk.py",
        "        if not self.queue.push(entry):\n",
        "        if not self.queue.push(entry) and False:\n",
        "packages/routing/tests/test_queues.py -k full_desk",
    ),
    Guard(
        "a permit needs every member",
        "groups/_permits.py",
        "        if not (complete and row.serves):\n",
        "        if not row.serves:\n",
        f"{TESTS}/test_groups_under_failure.py -k no_permit_while",
    ),
    Guard(
        "a planner waits until the lease before it has lapsed",
        "groups/_lease.py",
        "        if not free and unchanged_s < self.ttl_s * CLOCK_RATE_MARGIN:\n",
        "        if False:\n",
        "packages/groups/tests/test_fencing.py -k second_node",
    ),
    Guard(
        "every decision is conditional on the lease",
        "groups/_state.py",
        "        checks.append(lease)\n",
        "",
        "packages/groups/tests/test_fencing.py -k former_planner",
    ),
    Guard(
        "every decision is conditional on the rows it rests on",
        "groups/_state.py",
        "            VersionCheck(key, self._versions.get(key, 0)) for key in puts\n",
        "            VersionCheck(key, self._versions.get(key, 0)) for key in ()\n",
        "packages/groups/tests/test_fencing.py -k two_writers",
    ),
    Guard(
        "every decision is conditional on the newest configuration",
        "groups/_state.py",
        '        checks.append(FieldCheck(CONFIG_HEAD_KEY, "revision", config_revision))\n',
        "",
        f"{TESTS}/test_config_under_failure.py -k old_configuration",
    ),
    Guard(
        "fencing tokens rise above the row's",
        "groups/_state.py",
        "        from_row = held.fencing_token + 1 if held else 1\n",
        "        from_row = 1\n",
        "packages/groups/tests/test_fencing.py -k tokens_rise",
    ),
    Guard(
        "one watcher that cannot see proves no loss",
        "groups/_reports.py",
        "        for state in _ORDER:\n",
        "        for state in reversed(_ORDER):\n",
        f"{TESTS}/test_groups_under_failure.py -k blind",
    ),
    Guard(
        "a leaving member ends the permit",
        "groups/_watcher.py",
        "    if status.leaving:\n        return IS_LEAVING\n",
        "",
        f"{TESTS}/test_groups_under_failure.py -k no_new_work",
    ),
    Guard(
        "streams in flight outlive a member's leaving",
        "groups/_policy.py",
        "            gone = group.states.get(name) == LOST or self._drained(group)\n",
        "            gone = True\n",
        f"{TESTS}/test_groups_under_failure.py -k outlives",
    ),
    Guard(
        "orders wait until old permits have lapsed",
        "groups/_orders.py",
        "            if not ranks or not self._may_start(group.row):\n",
        "            if not ranks:\n",
        f"{TESTS}/test_groups_under_failure.py -k old_permit",
    ),
    Guard(
        "a straggler ends the permit and is replaced",
        "groups/_watcher.py",
        "                states[name] = STRAGGLER\n",
        "                pass\n",
        f"{TESTS}/test_groups_under_failure.py -k straggler_is_replaced",
    ),
    Guard(
        "short slowness is forgiven",
        "groups/_watcher.py",
        "            if watch.slow[name] >= STRAGGLER_PROBES:\n",
        "            if watch.slow[name] >= 1:\n",
        f"{TESTS}/test_groups_under_failure.py -k forgiven",
    ),
    Guard(
        "flapping instances are chosen last",
        "groups/_planner.py",
        "            view.quarantined_until_s = now_s + quarantine_s\n",
        "            view.quarantined_until_s = now_s\n",
        f"{TESTS}/test_groups_under_failure.py -k flapping",
    ),
    Guard(
        "a roll-out waits for freed instances",
        "groups/_policy.py",
        " and not self._unsettled(service)",
        "",
        f"{TESTS}/test_groups_under_failure.py -k rollout",
    ),
    Guard(
        "a revision never falls",
        "config/_follower.py",
        "        if revision <= self.revision:\n            return False\n        if digest_of",
        "        if digest_of",
        f"{TESTS}/test_config_under_failure.py -k old_revision",
    ),
    Guard(
        "content must match its digest",
        "config/_follower.py",
        "        if digest_of(content) != digest:\n",
        "        if False:\n",
        f"{TESTS}/test_config_under_failure.py -k digest",
    ),
    Guard(
        "a file is accepted only on the revision it was written against",
        "config/_apply.py",
        "        if head_revision == request.base_revision:\n            return None\n",
        "        return None\n",
        f"{TESTS}/test_config_under_failure.py -k racing",
    ),
    Guard(
        "a repeated apply is recognised",
        "config/_apply.py",
        '        if audit.value is not None and audit.value["apply_id"] == request.apply_id:\n',
        "        if False:\n",
        f"{TESTS}/test_config_under_failure.py -k repeat",
    ),
    Guard(
        "an isolated node stops serving",
        "daemon/_node.py",
        "        return (known - silent) * 2 >= known\n",
        "        return True\n",
        f"{TESTS}/test_config_under_failure.py -k cut_off",
    ),
    Guard(
        "nodes push what is new",
        "daemon/_node.py",
        "        if digest.config_revision > self.config.revision:\n",
        "        if False:\n",
        f"{TESTS}/test_config_under_failure.py -k though_the_store_is_lost",
    ),
    Guard(
        "frames are authenticated",
        "protocol/_codec.py",
        "    if not hmac.compare_digest(seal(key, sequence, body), mac):\n",
        "    if False:\n",
        "packages/protocol/tests/test_protocol.py -k flipped",
    ),
    Guard(
        "strangers are refused",
        "protocol/_link.py",
        '        if not secrets.compare_digest(proof.mac, derive_key(other, b"proof")):\n',
        "        if False:\n",
        "packages/protocol/tests/test_protocol.py -k stranger_without",
    ),
    Guard(
        "a stranger's frames are short",
        "protocol/_link.py",
        "        limit = MAX_FRAME_BYTES if self.alive else 1024\n",
        "        limit = MAX_FRAME_BYTES\n",
        "packages/protocol/tests/test_protocol.py -k reserve_memory",
    ),
]


def check(guard: Guard) -> str:
    """Take a guard out and run its test; return what came of it."""
    package, _, name = guard.module.partition("/")
    folder = "platform" if package == "adapter" else f"packages/{package}"
    source = ROOT / folder / "src"
    with tempfile.TemporaryDirectory(prefix="fordhatch-guard-") as directory:
        copy = Path(directory) / "src"
        shutil.copytree(source, copy)
        path = copy / "fordhatch" / package / name
        text = path.read_text()
        if text.count(guard.present) != 1:
            return f"the guard stands {text.count(guard.present)} times"
        path.write_text(text.replace(guard.present, guard.absent))
        command = [sys.executable, "-m", "pytest", "-x", *guard.test.split()]
        done = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(copy)},
            capture_output=True,
            text=True,
            timeout=240,
            check=False,
        )
    return "red" if done.returncode == 1 else f"pytest exit {done.returncode}"


def main() -> None:
    """Check every guard and write the table; with a word, only guards that have it.

    Only a run of all of them writes the table.
    """
    word = sys.argv[1] if len(sys.argv) > 1 else ""
    guards = [
        g for g in [*GUARDS, *PLATFORM_GUARDS] if word in f"{g.promise} {g.module}"
    ]
    with ThreadPoolExecutor(AT_ONCE) as pool:
        outcomes = list(pool.map(check, guards))
    lines = [
        "# Guards taken out",
        "",
        "Written by `make prove-guards`: each guard is taken out in a copy and its test",
        "run. `red` means that the test noticed.",
        "",
        "| guard | module | test | without the guard |",
        "|---|---|---|---|",
    ]
    for guard, outcome in zip(guards, outcomes, strict=True):
        test = guard.test.removeprefix("packages/")
        lines.append(f"| {guard.promise} | {guard.module} | `{test}` | {outcome} |")
        print(f"{outcome:20} {guard.promise}", flush=True)
    if not word:
        results = ROOT / "bench" / "results"
        results.mkdir(exist_ok=True)
        (results / "guards.md").write_text("\n".join(lines) + "\n")
    red = outcomes.count("red")
    print(f"{red} of {len(outcomes)} guards are proved by their test")
    sys.exit(0 if red == len(outcomes) else 1)


if __name__ == "__main__":
    main()
