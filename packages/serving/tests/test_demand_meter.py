"""Demand for models as counted by a node from its callers' requests."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from test_layout import PROFILE as DECLARED

from fordhatch.core import Timer
from fordhatch.serving import DemandMeter
from fordhatch_lab import run_in_virtual_time

PROFILE = attrs.evolve(DECLARED, usual_prompt_tokens=1000.0, usual_answer_tokens=100.0)
KEY = ("llm", "small")


async def send_requests(
    meter: DemandMeter, per_s: float, for_s: float, prompt: int
) -> None:
    for _ in range(round(per_s * for_s)):
        meter.record_request(KEY, "check", PROFILE, prompt)
        await asyncio.sleep(1.0 / per_s)


def test_rate_and_work_follow_the_last_second() -> None:
    async def scenario() -> None:
        meter = DemandMeter(Timer.from_seed(1))
        await send_requests(meter, 20.0, 5.0, 1000)
        found = meter.demand()[KEY]
        assert found.requests_per_s == pytest.approx(20.0, rel=0.1)
        busy_s = PROFILE.busy_s(PROFILE.model("small"), 1000, 100)
        assert found.busy_groups == pytest.approx(20.0 * busy_s, rel=0.1)
        await asyncio.sleep(5.0)
        assert meter.demand()[KEY].requests_per_s < 0.5

    run_in_virtual_time(scenario())


def test_one_request_at_the_start_does_not_count_as_thousands() -> None:
    async def scenario() -> None:
        meter = DemandMeter(Timer.from_seed(1))
        assert meter.demand() == {}
        meter.record_request(KEY, "check", PROFILE, 1000)
        assert meter.demand()[KEY].requests_per_s <= 2.0

    run_in_virtual_time(scenario())


def test_a_declared_prompt_length_is_capped() -> None:
    async def scenario() -> None:
        honest, exaggerating = DemandMeter(Timer()), DemandMeter(Timer())
        honest.record_request(KEY, "check", PROFILE, 1000)
        exaggerating.record_request(KEY, "check", PROFILE, 10**12)
        limit = 40 * honest.demand()[KEY].busy_groups
        assert exaggerating.demand()[KEY].busy_groups < limit

    run_in_virtual_time(scenario())


def test_short_answers_count_for_less() -> None:
    async def scenario() -> None:
        meter = DemandMeter(Timer())
        for _ in range(200):
            meter.record_answer("code", PROFILE, 2)
        meter.record_request(KEY, "code", PROFILE, 1000)
        meter.record_request(("llm", "big"), "summary", PROFILE, 1000)
        found = meter.demand()
        assert found[KEY].busy_groups < 0.6 * found["llm", "big"].busy_groups

    run_in_virtual_time(scenario())


def test_a_model_that_is_not_declared_is_not_counted() -> None:
    async def scenario() -> None:
        meter = DemandMeter(Timer())
        meter.record_request(("llm", "unknown"), "check", PROFILE, 1000)
        assert meter.demand() == {}

    run_in_virtual_time(scenario())
