"""The emulator: real nodes in virtual time before stand-ins, under load and faults."""

from __future__ import annotations

from ._experiment import Experiment, LabModel, RequestClass
from ._lab_site import LabSite
from ._measures import Measures
from ._run import run_experiment

__all__ = [
    "Experiment",
    "LabModel",
    "LabSite",
    "Measures",
    "RequestClass",
    "run_experiment",
]
