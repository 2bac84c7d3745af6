"""Routes by host and longest path prefix, and the services behind them.

Load pattern: a host name has thousands of routes in the configuration. Every
route prefix ends with a slash, so a lookup only tries the parts of the path
that end with one, and its cost does not grow with the number of routes.

A ``RouteTable`` is one complete, immutable configuration; a newer version
replaces it as a whole.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from .accounts.client_accounts import ClientAccounts

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceSpec",
    "WeightedService",
]


class RouteKind(Enum):
    """Which requests of a route may be retried."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedService:
    """A service and its relative share of a route's requests."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """One route; ``priority`` 0 is the most urgent.

    ``objective_ms`` is the latency objective. ``max_engines`` limits how many
    engines may work on one request. ``max_gap_ms`` is the longest pause
    between two events of a response that is on time, 0 if the route streams no
    events.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: int
    objective_ms: int
    priority: int
    max_engines: int
    resumable: bool = False
    max_gap_ms: int = 0
    anonymous: bool = False

    @property
    def allows_retry(self) -> bool:
        """Tell whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE

    def allows_run_after(self, runs: int) -> bool:
        """Tell whether a request may run once more after ``runs`` runs."""
        return self.allows_retry and runs < self.max_engines

    def service_for(self, request_id: str) -> str:
        """Return the service of a request, always the same for the same id."""
        if len(self.services) == 1:
            return self.services[0].service
        total_weight = sum(weighted.weight for weighted in self.services)
        hash_point = xxhash.xxh3_64_intdigest(request_id.encode()) % max(
            total_weight, 1
        )
        for weighted in self.services:
            hash_point -= weighted.weight
            if hash_point < 0:
                return weighted.service
        return self.services[-1].service


@dataclass(frozen=True)
class EngineSpec:
    """Properties shared by all model engines of a service.

    ``slots`` is the number of concurrent runs of an engine and
    ``memory_tokens`` its memory in tokens. ``tokens_per_event`` is the number
    of output tokens in an event, ``handle_ttl_s`` the time to live of a
    prefill result that is not fetched, and ``role_change_s`` the duration of a
    role change.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int
    handle_ttl_s: float
    role_change_s: float
    reservation_ttl_ms: int


@dataclass(frozen=True)
class ServiceSpec:
    """A service; ``engine`` is set if it is served by model engines."""

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Size limits and timeouts for callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True)
class RouteTable:
    """One version of the configuration; ``accounts`` is None without any."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, ServiceSpec]
    limits: CallerLimits
    accounts: ClientAccounts | None = None
    _routes_by_host_and_prefix: Mapping[tuple[str, str], Route] = field(
        init=False, repr=False
    )

    def __post_init__(self) -> None:
        """Index the routes by host and prefix.

        Raises ``ValueError`` for a prefix without a trailing slash.
        """
        index: dict[tuple[str, str], Route] = {}
        for route in self.routes:
            if not route.prefix.endswith("/"):
                raise ValueError(
                    f"prefix of route {route.name} does not end with a slash"
                )
            index.setdefault((route.host.lower(), route.prefix), route)
        object.__setattr__(self, "_routes_by_host_and_prefix", index)

    @property
    def model_services(self) -> list[str]:
        """Return the names of the services that model engines serve."""
        services = self.services_by_name.values()
        return [spec.name for spec in services if spec.engine is not None]

    @property
    def max_connections(self) -> int:
        """Return the fewest connections that a service's engines accept.

        0 if none states a limit.
        """
        services = self.services_by_name.values()
        limits = (spec.max_connections for spec in services)
        return min((limit for limit in limits if limit > 0), default=0)

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path."""
        path = target.partition("?")[0]
        name = host.lower().partition(":")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._routes_by_host_and_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
