"""Routes of requests and the choice of a target."""

from __future__ import annotations

import random

import attrs

from fordhatch.catalog import Configuration, Route


@attrs.define(eq=False, repr=False)
class RouteTable:
    """Routes by host, longest prefix first."""

    _by_host: dict[str, list[Route]] = attrs.field(factory=dict)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> RouteTable:
        """Create the table of a configuration."""
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)
        return cls(by_host)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Args:
            host: Value of the ``Host`` header.
            target: Path and query.

        Returns:
            The route, or None if none matches.
        """
        path = target.partition("?")[0]
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()


def choose_service(route: Route, rng: random.Random) -> str | None:
    """Choose the service for one request by the weights of the route's targets.

    Returns:
        The service, or None if no target has a weight.
    """
    targets = [t for t in route.targets if t.weight > 0]
    if not targets:
        return None
    if len(targets) == 1:
        return targets[0].service
    weights = [t.weight for t in targets]
    return rng.choices(targets, weights)[0].service
