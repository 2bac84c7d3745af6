"""Client accounts of the lab: engines, servers, classes, keys and tickets.

The keys are for development only. Sizes are those of section 1 of the design
page; ``EngineCounts`` lets an experiment use other pools.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from kumquat_core.ticket_models import ObjectModel, TicketModel

from .backend_server import BackendConfig
from .cost_model import EngineConfig

__all__ = [
    "CLIENT_ACCOUNTS",
    "EngineCounts",
    "ClientAccount",
    "ModelWork",
    "PlainService",
    "backend_configs",
    "engine_configs",
    "initial_ticket",
]

BYTES_PER_TOKEN = 4
LINK_BYTES_PER_S = 1e10
TICKET_AUTHOR = "lab"


@dataclass(frozen=True)
class ModelWork:
    """A class of model requests: its share, sizes and targets.

    Sizes are ranges in tokens. ``shared_tokens`` at the start of a prompt
    are common to all requests about one of ``subjects`` subjects.
    """

    class_name: str
    share: float
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    shared_tokens: int
    subjects: int
    ttft_target_ms: int
    tbt_target_ms: int
    patience_ms: int
    deadline_ms: int
    priority: int


@dataclass(frozen=True)
class PlainService:
    """A plain service whose calls must not run twice."""

    name: str
    class_name: str
    servers: int
    checks_fencing: bool


@dataclass(frozen=True)
class ClientAccount:
    """A client account with its region, engine pool and work."""

    name: str
    region: str
    failure_domains: tuple[str, ...]
    api_key: str
    model: str
    pool: str
    total_pieces: int
    work: tuple[ModelWork, ...]
    services: tuple[PlainService, ...]

    def find_work(self, class_name: str) -> ModelWork:
        """Return the parameters of a class of requests."""
        return next(item for item in self.work if item.class_name == class_name)


@dataclass(frozen=True)
class EngineCounts:
    """Number of engines of each role in a client account's pool.

    ``changes`` replaces fields of every engine's configuration.
    """

    prefill: int = 1
    decode: int = 2
    changes: Mapping[str, float] = field(default_factory=dict)


MADAFU = ClientAccount(
    name="madafu",
    region="pwani",
    failure_domains=("mombasa", "kilifi", "diani"),
    api_key="madafu-development-key",
    model="advice",
    pool="advice-pool",
    total_pieces=34,
    work=(
        ModelWork(
            class_name="route-advice",
            share=1.0,
            prompt_tokens=(600, 1400),
            output_tokens=(100, 200),
            shared_tokens=256,
            subjects=1,
            ttft_target_ms=8000,
            tbt_target_ms=60,
            patience_ms=12_000,
            deadline_ms=30_000,
            priority=0,
        ),
    ),
    services=(PlainService("orders", "stock-order", 3, False),),
)

HAGESTAD = ClientAccount(
    name="hagestad",
    region="vestland",
    failure_domains=("fjord-a", "fjord-b", "fjord-c"),
    api_key="hagestad-development-key",
    model="care",
    pool="care-pool",
    total_pieces=64,
    work=(
        ModelWork(
            class_name="care-digest",
            share=0.4,
            prompt_tokens=(4500, 7500),
            output_tokens=(60, 100),
            shared_tokens=2048,
            subjects=40,
            ttft_target_ms=4000,
            tbt_target_ms=50,
            patience_ms=8000,
            deadline_ms=30_000,
            priority=0,
        ),
        ModelWork(
            class_name="owner-check",
            share=0.6,
            prompt_tokens=(600, 1000),
            output_tokens=(40, 80),
            shared_tokens=512,
            subjects=40,
            ttft_target_ms=1000,
            tbt_target_ms=40,
            patience_ms=3000,
            deadline_ms=15_000,
            priority=1,
        ),
    ),
    services=(
        PlainService("booking", "booking", 3, True),
        PlainService("repotting", "repotting", 1, True),
    ),
)

CLIENT_ACCOUNTS = (MADAFU, HAGESTAD)


def engine_configs(
    account: ClientAccount,
    counts: EngineCounts,
    ports: list[int],
    weight_store_url: str,
) -> list[EngineConfig]:
    """Return the engines of an account; take their ports from ``ports``."""
    roles = ["prefill"] * counts.prefill + ["decode"] * counts.decode
    return [
        EngineConfig.model_validate(
            {
                "engine_id": f"{account.model}-{role}-{index}",
                "port": ports.pop(),
                "role": role,
                "models": (account.model,),
                "total_pieces": account.total_pieces,
                "link_bytes_per_s": LINK_BYTES_PER_S,
                "checks_fencing": index % 2 == 0,
                "weight_store_url": weight_store_url,
                **counts.changes,
            }
        )
        for index, role in enumerate(roles)
    ]


def backend_configs(account: ClientAccount, ports: list[int]) -> list[BackendConfig]:
    """Return the backend servers of a client account."""
    return [
        BackendConfig(
            server_id=f"{service.name}-{index}",
            service=service.name,
            port=ports.pop(),
            checks_fencing=service.checks_fencing,
        )
        for service in account.services
        for index in range(service.servers)
    ]


def initial_ticket(
    account: ClientAccount,
    number: int,
    engines: list[EngineConfig],
    servers: list[BackendConfig],
    tbt_target_ms: int = 0,
) -> TicketModel:
    """Return the ticket that creates all objects of a client account.

    ``tbt_target_ms`` replaces the targets of all classes unless it is 0.
    """
    objects = [
        *_model_objects(account),
        *_tenant_objects(account),
        *_class_objects(account, tbt_target_ms),
        *_service_objects(account),
        *(_engine_object(account, index, item) for index, item in enumerate(engines)),
        *(_server_object(account, index, item) for index, item in enumerate(servers)),
    ]
    return TicketModel(number=number, author=TICKET_AUTHOR, objects=tuple(objects))


def _object(kind: str, name: str, state: dict[str, Any]) -> ObjectModel:
    return ObjectModel.model_validate({"kind": kind, "name": name, "state": state})


def _model_objects(account: ClientAccount) -> list[ObjectModel]:
    model = {"version": "1", "bytes_per_token": BYTES_PER_TOKEN}
    pool = {"region": account.region, "models": (account.model,)}
    rule = {
        "tenant": account.name,
        "service": f"{account.model}-service",
        "model": account.model,
        "pool": account.pool,
    }
    return [
        _object("model", account.model, model),
        _object("pool", account.pool, pool),
        _object("service", f"{account.model}-service", {"kind": "model"}),
        _object("rule", f"{account.name}-{account.model}", rule),
    ]


def _tenant_objects(account: ClientAccount) -> list[ObjectModel]:
    digest = hashlib.sha256(account.api_key.encode()).hexdigest()
    default_class = account.work[-1].class_name
    state = {
        "api_key_sha256": (digest,),
        "default_class": default_class,
        "max_concurrent": 10_000,
        "requests_per_s": 10_000.0,
    }
    return [_object("tenant", account.name, state)]


def _class_objects(account: ClientAccount, tbt_target_ms: int) -> list[ObjectModel]:
    return [
        _object(
            "class",
            work.class_name,
            {
                "ttft_target_ms": work.ttft_target_ms,
                "tbt_target_ms": tbt_target_ms or work.tbt_target_ms,
                "patience_ms": work.patience_ms,
                "deadline_ms": work.deadline_ms,
                "priority": work.priority,
            },
        )
        for work in account.work
    ]


def _service_objects(account: ClientAccount) -> list[ObjectModel]:
    objects = []
    for service in account.services:
        state = {"kind": "plain", "repeatable": False, "timeout_ms": 5000}
        rule = {"tenant": account.name, "service": service.name}
        objects.append(_object("service", service.name, state))
        objects.append(_object("rule", f"{account.name}-{service.name}", rule))
    return objects


def _engine_object(
    account: ClientAccount, index: int, engine: EngineConfig
) -> ObjectModel:
    state = {
        "url": f"http://127.0.0.1:{engine.port}",
        "pool": account.pool,
        "failure_domain": account.failure_domains[index % len(account.failure_domains)],
        "role": engine.role,
        "models": engine.models,
        "total_pieces": engine.total_pieces,
        "piece_tokens": engine.piece_tokens,
        "max_requests": engine.max_requests,
        "prefill_tokens_per_s": engine.prefill_tokens_per_s,
        "link_bytes_per_s": engine.link_bytes_per_s,
        "step_base_ms": engine.step_base_ms,
        "step_request_ms": engine.step_request_ms,
        "checks_fencing": engine.checks_fencing,
    }
    return _object("engine", engine.engine_id, state)


def _server_object(
    account: ClientAccount, index: int, server: BackendConfig
) -> ObjectModel:
    state = {
        "url": f"http://127.0.0.1:{server.port}",
        "service": server.service,
        "failure_domain": account.failure_domains[index % len(account.failure_domains)],
        "checks_fencing": server.checks_fencing,
    }
    return _object("backend_server", server.server_id, state)
