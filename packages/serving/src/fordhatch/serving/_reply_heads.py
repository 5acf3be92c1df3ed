"""Heads of answers to callers."""

from __future__ import annotations


class UnwritableHead(Exception):  # noqa: N818
    """The head of an answer can't be written; nothing of the answer has been sent."""
