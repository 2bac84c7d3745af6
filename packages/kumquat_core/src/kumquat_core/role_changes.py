"""Decides when an engine changes its role or loads a model.

The shard owner samples the utilization of both roles and the requests
refused for each model, and issues the command that
``RoleChangePlanner.decide`` returns. The engine first finishes its work, so a
change is worthwhile only if the imbalance lasts. An imbalance must therefore
persist for ``SUSTAIN_S``, the loaded role must be above the upper limit, the
donor role must stay below the lower limit without the engine, and
``COOLDOWN_S`` passes between changes.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .configuration import EngineRole

__all__ = ["EngineLoad", "LoadModel", "RoleChangePlanner", "SetRole"]

# The utilization of the loaded role is at or above the upper limit, that of
# the donor role without the engine at or below the lower one. The distance is
# the hysteresis.
UPPER_UTILIZATION = 0.85
LOWER_UTILIZATION = 0.6
SUSTAIN_S = 10.0
COOLDOWN_S = 60.0


@dataclass(frozen=True)
class EngineLoad:
    """Mean utilization of one engine, between 0 and 1."""

    engine_id: str
    role: EngineRole
    models: tuple[str, ...]
    utilization: float


@dataclass(frozen=True)
class SetRole:
    """Command to an engine to change to ``role``."""

    engine_id: str
    role: EngineRole


@dataclass(frozen=True)
class LoadModel:
    """Command to an engine to load ``model`` in addition to its others."""

    engine_id: str
    model: str


@dataclass(frozen=True)
class _Proposal:
    """A command and the imbalance that it would correct."""

    command: SetRole | LoadModel
    cause: tuple[str, str]


class RoleChangePlanner:
    """Turns lasting imbalance of one shard into one command at a time."""

    def __init__(self) -> None:
        self._cause: tuple[str, str] | None = None
        self._since_s = 0.0
        self._cooldown_until_s = 0.0

    def decide(
        self,
        loads: Sequence[EngineLoad],
        refused_by_model: Mapping[str, int],
        now_s: float,
    ) -> SetRole | LoadModel | None:
        """Return a command if an imbalance has lasted for ``SUSTAIN_S``.

        ``refused_by_model`` counts the requests that were refused since the
        last call because no engine has the model. A missing model comes
        before an imbalance of roles.
        """
        if now_s < self._cooldown_until_s:
            return None
        proposal = _propose_for_model(loads, refused_by_model) or _propose_for_role(
            loads
        )
        if proposal is None:
            self._cause = None
            return None
        if proposal.cause != self._cause:
            self._cause = proposal.cause
            self._since_s = now_s
        if now_s - self._since_s < SUSTAIN_S:
            return None
        self._cause = None
        self._cooldown_until_s = now_s + COOLDOWN_S
        return proposal.command


def _propose_for_role(loads: Sequence[EngineLoad]) -> _Proposal | None:
    """Propose to move the least utilized engine to an overloaded role."""
    for loaded_role in EngineRole:
        donor_role = next(role for role in EngineRole if role is not loaded_role)
        loaded_engines = [load for load in loads if load.role is loaded_role]
        donors = [load for load in loads if load.role is donor_role]
        if len(donors) < 2 or not loaded_engines:
            continue
        if _mean_utilization(loaded_engines) < UPPER_UTILIZATION:
            continue
        candidate = min(donors, key=lambda load: (load.utilization, load.engine_id))
        if not _can_release(candidate, donors):
            continue
        return _Proposal(
            SetRole(candidate.engine_id, loaded_role), ("role", loaded_role.value)
        )
    return None


def _can_release(engine: EngineLoad, donors: Sequence[EngineLoad]) -> bool:
    """Return whether the other engines of the role can do its work.

    Another engine of the role must serve each of its models.
    """
    others = [load for load in donors if load is not engine]
    utilization_after = sum(load.utilization for load in donors) / len(others)
    served = {model for load in others for model in load.models}
    return utilization_after <= LOWER_UTILIZATION and served.issuperset(engine.models)


def _propose_for_model(
    loads: Sequence[EngineLoad], refused_by_model: Mapping[str, int]
) -> _Proposal | None:
    """Propose to load a missing model on a role's least utilized engine."""
    missing = [model for model, count in refused_by_model.items() if count]
    for model in sorted(missing):
        for role in EngineRole:
            engines = [load for load in loads if load.role is role]
            if not engines or any(model in load.models for load in engines):
                continue
            least_utilized = min(
                engines, key=lambda load: (load.utilization, load.engine_id)
            )
            return _Proposal(
                LoadModel(least_utilized.engine_id, model), (role.value, model)
            )
    return None


def _mean_utilization(loads: Sequence[EngineLoad]) -> float:
    return sum(load.utilization for load in loads) / len(loads)
