"""A rolling release of engines beside losses and late orders."""

from __future__ import annotations

from fordhatch_lab import Experiment, run_experiment

RELEASE = Experiment(
    seed=2,
    nodes=3,
    domains=3,
    warm_up_s=30.0,
    duration_s=8.0,
    load=0.4,
    loss_every_s=2.0,
    empty_every_s=2.0,
    release_fraction=0.4,
    release_at_s=1.0,
    release_batch=2,
    late_orders=0.2,
)


# Guards against groups that open with a member that a release has restarted, and
# against a release that ends most answers.
def test_a_release_beside_losses_breaks_no_rule_and_callers_are_served() -> None:
    measures = run_experiment(RELEASE)
    assert measures.violations == []
    assert measures.served() > 0.9
