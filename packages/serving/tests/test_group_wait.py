"""Waiting times after a model's last group is lost, with and without a pending one.

Groups open 1.5 to 2.1 s after the decision to form them; callers give up a stream after
two seconds without an event, and have one retry.
"""

from __future__ import annotations

import pytest
from planning_site import engine_configuration

from fordhatch.adapter import decode_backend, decode_configuration
from fordhatch.catalog import BackendServer
from fordhatch.serving.groups._group_wait import group_wait
from fordhatch_standins import backend_entry

PROFILE = decode_configuration(engine_configuration()).services["llm"].engine
SMALL_WARM_S, FORM_S = 1.1, 0.3


def group(name: str, *states: str) -> list[BackendServer]:
    return [
        decode_backend(
            f"{name}-{rank}",
            backend_entry(
                "llm",
                "10.0.0.1:1",
                group={"name": name, "epoch": 1, "rank": rank, "state": state},
            ),
        )
        for rank, state in enumerate(states)
    ]


@pytest.mark.parametrize(
    ("backends", "at_least_s", "at_most_s"),
    [
        ([], 0.0, 0.0),
        (group("small.1", "broken", "ready"), 0.0, 0.0),
        (group("small.1", "open", "ready"), 0.0, 0.0),
        (group("small.1", "closing", "ready"), 0.0, 0.0),
        (group("big.1", "joining", "joining"), 0.0, 0.0),
        (group("small.1", "ready", "ready"), FORM_S, 0.8),
        (group("small.1", "ready", "joining"), SMALL_WARM_S + FORM_S, 2.0),
        (
            group("small.1", "broken") + group("small.2", "joining"),
            SMALL_WARM_S + FORM_S,
            2.0,
        ),
    ],
)
def test_only_a_pending_group_is_waited_for(
    backends: list[BackendServer], at_least_s: float, at_most_s: float
) -> None:
    assert at_least_s <= group_wait(backends, PROFILE, "small").hold_s <= at_most_s


def test_retry_after_covers_the_forming_of_a_group() -> None:
    wait = group_wait([], PROFILE, "small")
    assert SMALL_WARM_S + FORM_S < wait.retry_within_s(60.0) < 3.0
    # Most of a short deadline is left for serving the request.
    assert wait.retry_within_s(4.0) == 1.0
    assert wait.retry_within_s(-0.1) == 0.0


def test_a_model_that_is_not_declared_has_no_pending_group() -> None:
    assert group_wait([], PROFILE, "other").hold_s == 0.0
