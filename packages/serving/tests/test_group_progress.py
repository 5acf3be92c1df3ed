"""Waits for the first event of a run, without a network."""

from __future__ import annotations

import attrs
import pytest

from fordhatch.catalog import EngineProfile, ModelProfile
from fordhatch.core import Timer
from fordhatch.serving.groups._group_progress import (
    MAX_FIRST_EVENT_WAIT_S,
    GroupProgress,
)

MODEL = ModelProfile("m", size=4, share=1.0, pace=0.6, load_s=12.0, warm_s=1.1)
PROFILE = EngineProfile(
    slots=17, kv_tokens=700_000, stride=5, step_s=0.006, per_sequence_s=0.0005,
    context_s_per_kilotoken=0.0, read_tokens_per_s=46_000.0, pairs_s_per_million=0.0,
    chunk_tokens=2048, loads_per_s=14.0, loads_at_once=21, staged_models_kept=1,
    form_s=0.3, usual_prompt_tokens=841.0, usual_answer_tokens=111.0, models=(MODEL,),
)  # fmt: skip


# Guards against runs that are abandoned and repeated elsewhere while their group works
# through its queue, as after a restart of all nodes: every repeat waits again.
@pytest.mark.parametrize("queued", [0, 1, 8, 17])
def test_a_run_waits_for_the_queue_of_its_group(queued: int) -> None:
    progress = GroupProgress(Timer.from_seed(1))
    idle_s = progress.first_event_timeout_s(PROFILE, "m")
    timeout_s = progress.first_event_timeout_s(PROFILE, "m", 17.0 + queued)
    queue_s = queued * PROFILE.busy_s(MODEL, 841.0, 111.0)
    assert timeout_s == pytest.approx(min(idle_s + queue_s, MAX_FIRST_EVENT_WAIT_S))


def test_a_group_with_free_slots_has_no_longer_timeout() -> None:
    progress = GroupProgress(Timer.from_seed(1))
    idle_s = progress.first_event_timeout_s(PROFILE, "m")
    assert progress.first_event_timeout_s(PROFILE, "m", 16.0) == idle_s
    other = attrs.evolve(PROFILE, models=())
    assert progress.first_event_timeout_s(other, "m", 40.0) <= MAX_FIRST_EVENT_WAIT_S
