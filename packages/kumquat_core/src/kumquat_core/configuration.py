"""The current configuration: services, pools, engines, tenants and rules.

These data classes are immutable. ``tickets.TicketStore`` builds a new
``Configuration`` after each change, so that a request sees one consistent
configuration from start to end. Indexes are built on first use, so that a
request does not have to search all engines or rules.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from operator import attrgetter
from types import MappingProxyType
from typing import TypeVar

__all__ = [
    "BackendServer",
    "Configuration",
    "Engine",
    "EngineRole",
    "Model",
    "Pool",
    "RequestClass",
    "RoutingRule",
    "ServerState",
    "Service",
    "ServiceKind",
    "Tenant",
]

Value = TypeVar("Value")

ALL_TENANTS = "*"


class EngineRole(StrEnum):
    """The current role of an engine."""

    PREFILL = "prefill"
    DECODE = "decode"


class ServerState(StrEnum):
    """Whether an engine or backend server receives new requests."""

    LIVE = "live"
    LEAVING = "leaving"


class ServiceKind(StrEnum):
    """What serves a service: model engines or plain backend servers."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(frozen=True)
class Model:
    """A model that callers can request."""

    name: str
    version: str
    bytes_per_token: float
    max_prompt_tokens: int
    max_output_tokens: int
    kv_bytes_per_token: int


@dataclass(frozen=True)
class Pool:
    """Prefill and decode engines of one region that serve the same models."""

    name: str
    region: str
    models: tuple[str, ...]


@dataclass(frozen=True)
class Engine:
    """A model engine; memory is allocated in pieces of ``piece_tokens``.

    ``prefill_tokens_per_s`` and ``link_bytes_per_s`` are nominal rates. The
    nominal time of one decode step is ``step_base_ms`` plus
    ``step_request_ms`` for each request in the batch.
    """

    id: str
    url: str
    pool: str
    failure_domain: str
    role: EngineRole
    models: tuple[str, ...]
    state: ServerState
    total_pieces: int
    piece_tokens: int
    max_requests: int
    prefill_tokens_per_s: float
    link_bytes_per_s: float
    step_base_ms: float
    step_request_ms: float
    checks_fencing: bool


@dataclass(frozen=True)
class BackendServer:
    """A plain backend server of a service."""

    id: str
    url: str
    service: str
    failure_domain: str
    state: ServerState
    checks_fencing: bool


@dataclass(frozen=True)
class Service:
    """A service; ``repeatable`` tells whether a plain call may run twice.

    ``GET`` and ``HEAD`` calls to a plain service may always run twice.
    """

    name: str
    kind: ServiceKind
    repeatable: bool
    timeout_ms: int


@dataclass(frozen=True)
class RequestClass:
    """Latency targets and priority of a class of requests.

    ``patience_ms`` is the longest time to the first token that is still of
    use to the caller. ``ttft_target_ms`` (time to the first token) and
    ``tbt_target_ms`` (time between tokens) define goodput. Of two requests
    with equal slack, the one with the higher ``priority`` goes first.
    """

    name: str
    ttft_target_ms: int
    tbt_target_ms: int
    patience_ms: int
    deadline_ms: int
    priority: int


@dataclass(frozen=True)
class Tenant:
    """A client account and its limits."""

    name: str
    api_key_sha256: tuple[str, ...]
    default_class: str
    weight: float
    max_concurrent: int
    requests_per_s: float


@dataclass(frozen=True)
class RoutingRule:
    """Allows a tenant (``*`` for all) to use a model or a plain service.

    A rule for a model names the pool that serves it.
    """

    name: str
    tenant: str
    service: str
    model: str
    pool: str


def _empty() -> "MappingProxyType[str, Value]":
    return MappingProxyType({})


@dataclass(frozen=True)
class Configuration:
    """The complete configuration at one position of the ticket log."""

    position: int = 0
    number: int = 0
    services_by_name: MappingProxyType[str, Service] = field(default_factory=_empty)
    pools_by_name: MappingProxyType[str, Pool] = field(default_factory=_empty)
    engines_by_id: MappingProxyType[str, Engine] = field(default_factory=_empty)
    backend_servers_by_id: MappingProxyType[str, BackendServer] = field(
        default_factory=_empty
    )
    models_by_name: MappingProxyType[str, Model] = field(default_factory=_empty)
    classes_by_name: MappingProxyType[str, RequestClass] = field(default_factory=_empty)
    tenants_by_name: MappingProxyType[str, Tenant] = field(default_factory=_empty)
    rules_by_name: MappingProxyType[str, RoutingRule] = field(default_factory=_empty)
    tenants_by_key_sha256: MappingProxyType[str, Tenant] = field(default_factory=_empty)

    @cached_property
    def engines_by_pool(self) -> dict[str, list[Engine]]:
        """Engines of each pool, including leaving ones."""
        return _group_by_key(self.engines_by_id.values(), attrgetter("pool"))

    @cached_property
    def backend_servers_by_service(self) -> dict[str, list[BackendServer]]:
        """Backend servers of each service, including leaving ones."""
        return _group_by_key(self.backend_servers_by_id.values(), attrgetter("service"))

    @cached_property
    def rules_by_tenant_and_model(self) -> dict[tuple[str, str], RoutingRule]:
        """Rules for models; for equal keys, the first by name."""
        return _first_rule_by_key(self._sorted_rules(), attrgetter("tenant", "model"))

    @cached_property
    def rules_by_tenant_and_service(self) -> dict[tuple[str, str], RoutingRule]:
        """Rules for plain services; for equal keys, the first by name."""
        return _first_rule_by_key(self._sorted_rules(), attrgetter("tenant", "service"))

    def pool_for(self, tenant: str, model: str) -> Pool | None:
        """Return the pool that serves a model for a tenant, or None.

        A rule for the tenant takes precedence over one for all tenants.
        """
        rules = self.rules_by_tenant_and_model
        rule = rules.get((tenant, model)) or rules.get((ALL_TENANTS, model))
        return None if rule is None else self.pools_by_name.get(rule.pool)

    def allows_service(self, tenant: str, service: str) -> bool:
        """Return whether a rule allows the tenant to call a plain service."""
        rules = self.rules_by_tenant_and_service
        return (tenant, service) in rules or (ALL_TENANTS, service) in rules

    def backend_servers_of(self, service: str) -> list[BackendServer]:
        """Return the live backend servers of a plain service."""
        return [
            server
            for server in self.backend_servers_by_service.get(service, ())
            if server.state is ServerState.LIVE
        ]

    def engines_of(self, pool: str) -> list[Engine]:
        """Return all engines of a pool, including leaving ones."""
        return self.engines_by_pool.get(pool, [])

    def _sorted_rules(self) -> list[RoutingRule]:
        return sorted(self.rules_by_name.values(), key=attrgetter("name"))


def _group_by_key(
    values: Iterable[Value], key_of: Callable[[Value], str]
) -> dict[str, list[Value]]:
    """Return the values grouped by their keys, in their order."""
    groups: dict[str, list[Value]] = {}
    for value in values:
        groups.setdefault(key_of(value), []).append(value)
    return groups


def _first_rule_by_key(
    rules: Iterable[RoutingRule],
    key_of: Callable[[RoutingRule], tuple[str, str]],
) -> dict[tuple[str, str], RoutingRule]:
    """Return the first rule of each key."""
    first: dict[tuple[str, str], RoutingRule] = {}
    for rule in rules:
        first.setdefault(key_of(rule), rule)
    return first
