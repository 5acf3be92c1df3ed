"""Memory of a group that a request needs, in tokens."""

from __future__ import annotations

import attrs

from fordhatch.catalog import CallFields, EngineProfile


@attrs.frozen
class MemoryNeed:
    """Tokens that a request occupies at a group, and the group's capacity."""

    tokens: int
    """Prompt and expected output."""
    capacity_tokens: int
    """Memory of a group; 0 if it is not declared."""

    @classmethod
    def from_request(cls, fields: CallFields, profile: EngineProfile) -> MemoryNeed:
        """Estimate a request's need.

        The expected output is the caller's hint, otherwise the service's usual answer;
        at most the request's maximum, if it has one.

        Args:
            fields: The fields of the request's headers.
            profile: The service's engine.
        """
        output_tokens = fields.length_hint_tokens
        if output_tokens is None:
            output_tokens = int(profile.usual_answer_tokens)
        if fields.max_output_tokens > 0:
            output_tokens = min(output_tokens, fields.max_output_tokens)
        return cls(fields.prompt_tokens + output_tokens, profile.kv_tokens)

    def used_fraction(self, total_tokens: float) -> float:
        """Return the used fraction of a group's memory with this request.

        Args:
            total_tokens: Tokens of the requests that are in flight at the group.
        """
        if self.capacity_tokens <= 0:
            return 0.0
        return (total_tokens + self.tokens) / self.capacity_tokens


NO_NEED = MemoryNeed(0, 0)
"""Need of a request that no group's memory is checked for."""
