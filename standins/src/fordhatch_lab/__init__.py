"""The emulator: real nodes in virtual time before stand-ins, under load and faults."""

from __future__ import annotations

from ._experiment import CLASSES, Experiment, LabModel, RequestClass
from ._lab_load import LabLoad
from ._lab_site import LabNode, LabSite
from ._measures import Measures, Outcome
from ._run import run_experiment, run_in_virtual_time

__all__ = [
    "CLASSES",
    "Experiment",
    "LabLoad",
    "LabModel",
    "LabNode",
    "LabSite",
    "Measures",
    "Outcome",
    "RequestClass",
    "run_experiment",
    "run_in_virtual_time",
]
