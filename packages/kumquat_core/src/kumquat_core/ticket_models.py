"""Models that validate tickets from operators and from the store.

A ticket is ``{"number", "author", "objects": [{"kind", "name", "state"}]}``.
``state`` is the complete new state of the object, or null to delete it.
"""

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from .configuration import EngineRole, ServerState, ServiceKind
from .message_fields import Whole

__all__ = [
    "STATE_MODELS_BY_KIND",
    "ObjectModel",
    "SnapshotModel",
    "SnapshotObjectModel",
    "TicketModel",
]

Name = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[\w.@*-]+$")]
# No figure of an operator is larger; infinity would make weights and rates of
# all others useless.
MAX_FIGURE = 10**12

Positive = Annotated[int, Field(gt=0, le=MAX_FIGURE)]
NonNegativeFloat = Annotated[float, Field(ge=0, le=MAX_FIGURE, allow_inf_nan=False)]
PositiveFloat = Annotated[float, Field(gt=0, le=MAX_FIGURE, allow_inf_nan=False)]


class StateModel(BaseModel):
    """Base of all object states: unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ModelState(StateModel):
    """State of a model."""

    version: str = "1"
    bytes_per_token: PositiveFloat = 4.0
    max_prompt_tokens: Positive = 65536
    max_output_tokens: Positive = 8192
    kv_bytes_per_token: Positive = 160_000


class PoolState(StateModel):
    """State of a pool."""

    region: Name
    models: tuple[Name, ...]


class EngineState(StateModel):
    """State of a model engine."""

    url: Annotated[str, Field(pattern=r"^https?://")]
    pool: Name
    failure_domain: Name
    role: EngineRole
    models: tuple[Name, ...]
    state: ServerState = ServerState.LIVE
    total_pieces: Positive = 40
    piece_tokens: Positive = 1024
    max_requests: Positive = 20
    prefill_tokens_per_s: PositiveFloat = 20000.0
    link_bytes_per_s: PositiveFloat = 5e9
    step_base_ms: NonNegativeFloat = 12.0
    step_request_ms: NonNegativeFloat = 0.9
    checks_fencing: bool = True


class BackendServerState(StateModel):
    """State of a backend server of a plain service."""

    url: Annotated[str, Field(pattern=r"^https?://")]
    service: Name
    failure_domain: Name
    state: ServerState = ServerState.LIVE
    checks_fencing: bool = False


class ServiceState(StateModel):
    """State of a service."""

    kind: ServiceKind
    repeatable: bool = False
    timeout_ms: Positive = 10_000


class RequestClassState(StateModel):
    """State of a request class."""

    ttft_target_ms: Positive
    tbt_target_ms: Positive
    patience_ms: Positive
    deadline_ms: Positive
    priority: Whole = 0


class TenantState(StateModel):
    """State of a tenant."""

    api_key_sha256: tuple[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")], ...]
    default_class: Name
    weight: PositiveFloat = 1.0
    max_concurrent: Positive = 1000
    requests_per_s: PositiveFloat = 1000.0


class RoutingRuleState(StateModel):
    """State of a routing rule."""

    tenant: Name
    service: Name | Literal[""] = ""
    model: Name | Literal[""] = ""
    pool: Name | Literal[""] = ""


STATE_MODELS_BY_KIND: dict[str, type[StateModel]] = {
    "model": ModelState,
    "pool": PoolState,
    "engine": EngineState,
    "backend_server": BackendServerState,
    "service": ServiceState,
    "class": RequestClassState,
    "tenant": TenantState,
    "rule": RoutingRuleState,
}


class ObjectModel(BaseModel):
    """One object that a ticket sets or deletes."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: Literal[
        "model",
        "pool",
        "engine",
        "backend_server",
        "service",
        "class",
        "tenant",
        "rule",
    ]
    name: Name
    state: dict[str, Any] | None

    @model_validator(mode="after")
    def _check_state(self) -> "ObjectModel":
        if self.state is not None:
            STATE_MODELS_BY_KIND[self.kind].model_validate(self.state)
        return self


class TicketModel(BaseModel):
    """A numbered change with the complete new state of each object."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    number: Annotated[int, Field(gt=0, lt=10**12)]
    author: Annotated[str, Field(min_length=1, max_length=128)]
    objects: Annotated[tuple[ObjectModel, ...], Field(min_length=1, max_length=10000)]

    @model_validator(mode="after")
    def _check_unique(self) -> "TicketModel":
        keys = [(item.kind, item.name) for item in self.objects]
        if len(keys) != len(set(keys)):
            raise ValueError("an object occurs more than once")
        return self


class SnapshotObjectModel(ObjectModel):
    """One object of a snapshot with the ticket number that set its state."""

    number: Annotated[int, Field(gt=0, lt=10**12)]


class SnapshotModel(BaseModel):
    """The merged state of all tickets up to a log position."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    position: Annotated[int, Field(ge=0, lt=10**12)]
    number: Annotated[int, Field(ge=0, lt=10**12)]
    objects: tuple[SnapshotObjectModel, ...]
