"""The emulator: real nodes in virtual time before stand-ins, under load and faults."""

from __future__ import annotations

from ._experiment import Experiment, LabModel, RequestClass
from ._lab_site import LabNode, LabSite
from ._measures import Measures
from ._run import run_experiment, run_in_virtual_time

__all__ = [
    "Experiment",
    "LabModel",
    "LabNode",
    "LabSite",
    "Measures",
    "RequestClass",
    "run_experiment",
    "run_in_virtual_time",
]
