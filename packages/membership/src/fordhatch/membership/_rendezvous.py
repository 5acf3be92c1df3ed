"""Rendezvous hashing: who is responsible for a key, without any agreement."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from fordhatch.protocol.messages import NodeRecord


def rendezvous_rank(key: str, names: Iterable[str]) -> list[str]:
    """Return all names, the one most responsible for ``key`` first.

    When a name disappears only the keys it was responsible for move.

    Args:
        key: What somebody has to be responsible for.
        names: The candidates.
    """
    return sorted(names, key=lambda name: (_score(key, name), name))


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())


def choose_nodes(
    key: str, nodes: Iterable[NodeRecord], count: int, *, zone: str = ""
) -> list[NodeRecord]:
    """Return the nodes responsible for a key.

    Args:
        key: What the nodes are responsible for.
        nodes: The candidates.
        count: How many nodes are wanted.
        zone: Nodes of this availability zone go first, but for the last place,
            which goes to another zone so that one zone's loss leaves somebody.

    Returns:
        At most ``count`` nodes.
    """
    by_id = {node.node_id: node for node in nodes}
    ranked = [by_id[name] for name in rendezvous_rank(key, by_id)]
    if not zone or count < 1:
        return ranked[:count]
    near = [n for n in ranked if n.zone == zone]
    far = [n for n in ranked if n.zone != zone]
    chosen = near[: count - 1] if count > 1 and far else near[:count]
    return (chosen + far)[:count] if len(chosen + far) >= count else chosen + far
