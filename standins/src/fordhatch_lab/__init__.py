"""Emulator: real nodes in virtual time with stand-in engines, load and faults."""

from __future__ import annotations

from ._cut_trial import CutFigures, CutNodes, CutTrial, FirstAttempts, play_cut
from ._experiment import CLASSES, Experiment, LabModel, RequestClass
from ._lab_load import LabLoad
from ._lab_site import LabNode, LabSite
from ._limit_trial import LimitPlay, LimitTrial, allowed, play_limit
from ._load_trial import LoadFigures, LoadTrial, play_load
from ._measures import Measures, Outcome
from ._part_report import PART_TRIALS
from ._part_trial import PartFigures, PartTrial, play_parts
from ._retry_trial import RestartSeries, RetryFigures, RetryTrial, play_retries
from ._run import run_experiment, run_in_virtual_time

__all__ = [
    "CLASSES",
    "PART_TRIALS",
    "CutFigures",
    "CutNodes",
    "CutTrial",
    "Experiment",
    "FirstAttempts",
    "LabLoad",
    "LabModel",
    "LabNode",
    "LabSite",
    "LimitPlay",
    "LimitTrial",
    "LoadFigures",
    "LoadTrial",
    "Measures",
    "Outcome",
    "PartFigures",
    "PartTrial",
    "RequestClass",
    "RestartSeries",
    "RetryFigures",
    "RetryTrial",
    "allowed",
    "play_cut",
    "play_limit",
    "play_load",
    "play_parts",
    "play_retries",
    "run_experiment",
    "run_in_virtual_time",
]
