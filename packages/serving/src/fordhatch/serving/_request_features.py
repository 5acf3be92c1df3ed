"""What requests can have in common, as digests."""

from __future__ import annotations

import attrs

PART_PREFIX = "part-"
"""Begins the digests of parts, to distinguish them from those of contents."""


@attrs.frozen
class RequestFeatures:
    """What a request can have in common with other ones."""

    content: str = ""
    """Digest of the whole content; empty until nodes share a key."""
    parts: tuple[str, ...] = ()
    """Digests of the shared parts of its prompt, in their order."""

    @property
    def names(self) -> tuple[str, ...]:
        """The content and all parts."""
        return (self.content, *self.parts) if self.content else ()


def is_part(feature: str) -> bool:
    """Return whether a feature is a part of prompts, not a content."""
    return feature.startswith(PART_PREFIX)
