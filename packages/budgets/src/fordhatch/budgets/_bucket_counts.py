"""Counts by time bucket."""

from __future__ import annotations

import attrs


@attrs.define(eq=False, repr=False)
class BucketCounts:
    """Counts of one kind of event by the time bucket in which they happened."""

    bucket_s: float
    kept: int
    """Number of buckets that are kept, before the newest one."""
    by_bucket: dict[int, int] = attrs.field(factory=dict)
    _pruned: int = 0
    """Newest bucket when old ones were last removed."""

    def bucket(self, at_s: float) -> int:
        """Return the bucket of a time in monotonic seconds."""
        return int(at_s // self.bucket_s)

    def add(self, at_s: float, count: int = 1) -> None:
        """Count events at a time in monotonic seconds."""
        bucket = self.bucket(at_s)
        self.by_bucket[bucket] = self.by_bucket.get(bucket, 0) + count
        if bucket > self._pruned + self.kept:
            self._pruned = bucket
            old = [b for b in self.by_bucket if b < bucket - self.kept]
            for one in old:
                del self.by_bucket[one]

    def remove(self, at_s: float) -> None:
        """Undo the count of one event at a time, if it is still kept."""
        bucket = self.bucket(at_s)
        if self.by_bucket.get(bucket, 0) > 0:
            self.by_bucket[bucket] -= 1

    def since(self, at_s: float) -> int:
        """Return the number of events in the bucket of a time and in later ones."""
        first = self.bucket(at_s)
        return sum(n for bucket, n in self.by_bucket.items() if bucket >= first)

    def newest(self, default: int) -> int:
        """Return the newest bucket with events, which may lie in the future."""
        return max(self.by_bucket, default=default)

    def oldest(self, default: int) -> int:
        """Return the oldest bucket with events."""
        return min((b for b, n in self.by_bucket.items() if n), default=default)
