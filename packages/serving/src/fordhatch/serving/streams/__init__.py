"""Streams of model engines, across all runs of a request."""

from __future__ import annotations

from ._silence_watch import SilenceWatch
from ._stream_call import StreamCalls
from ._stream_run import StreamRuns

__all__ = ["SilenceWatch", "StreamCalls", "StreamRuns"]
