"""When an engine should change its role or load a model.

The shard owner samples the pressure of both roles and of each model, and
issues the order that ``RoleAdvisor.decide`` returns. A change pays off only
when the imbalance lasts, since the engine first finishes its work, so an
imbalance must hold for some time, the receiving side must clearly need the
engine, the donor side must be able to spare it, and changes are far apart.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .configuration import EngineRole

__all__ = ["EngineLoad", "LoadModel", "RoleAdvisor", "SetRole"]

# The loaded role is above the upper and the donor role, without the engine,
# still below the lower limit; the distance is the hysteresis.
UPPER_USE = 0.85
LOWER_USE = 0.6
SUSTAIN_S = 10.0
COOL_DOWN_S = 60.0


@dataclass(frozen=True)
class EngineLoad:
    """Use of one engine between 0 and 1, averaged by the owner."""

    engine_id: str
    role: EngineRole
    models: tuple[str, ...]
    use: float


@dataclass(frozen=True)
class SetRole:
    """Order: the engine changes to ``role``."""

    engine_id: str
    role: EngineRole


@dataclass(frozen=True)
class LoadModel:
    """Order: the engine loads ``model`` in addition."""

    engine_id: str
    model: str


@dataclass(frozen=True)
class _Proposal:
    order: SetRole | LoadModel
    cause: tuple[str, str]


class RoleAdvisor:
    """Turns sustained imbalance of one shard into single orders."""

    def __init__(self) -> None:
        self._cause: tuple[str, str] | None = None
        self._since_s = 0.0
        self._quiet_until_s = 0.0

    def decide(
        self,
        loads: Sequence[EngineLoad],
        refused_by_model: Mapping[str, int],
        now_s: float,
    ) -> SetRole | LoadModel | None:
        """Return an order when an imbalance has lasted long enough.

        ``refused_by_model`` counts the requests that were refused since the
        last call because no engine has the model.
        """
        if now_s < self._quiet_until_s:
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
        self._quiet_until_s = now_s + COOL_DOWN_S
        return proposal.order


def _propose_for_role(loads: Sequence[EngineLoad]) -> _Proposal | None:
    for loaded in EngineRole:
        donor_role = next(role for role in EngineRole if role is not loaded)
        loaded_engines = [load for load in loads if load.role is loaded]
        donors = [load for load in loads if load.role is donor_role]
        if len(donors) < 2 or not loaded_engines:
            continue
        if _mean_use(loaded_engines) < UPPER_USE:
            continue
        spare = min(donors, key=lambda load: (load.use, load.engine_id))
        if not _can_spare(spare, donors):
            continue
        return _Proposal(SetRole(spare.engine_id, loaded), ("role", loaded.value))
    return None


def _can_spare(engine: EngineLoad, donors: Sequence[EngineLoad]) -> bool:
    """Tell whether the other engines of the role can take its work.

    Each of its models must stay served by another engine of the role.
    """
    others = [load for load in donors if load is not engine]
    use_after = sum(load.use for load in donors) / len(others)
    served = {model for load in others for model in load.models}
    return use_after <= LOWER_USE and served.issuperset(engine.models)


def _propose_for_model(
    loads: Sequence[EngineLoad], refused_by_model: Mapping[str, int]
) -> _Proposal | None:
    wanted = [model for model, count in refused_by_model.items() if count]
    for model in sorted(wanted):
        for role in EngineRole:
            engines = [load for load in loads if load.role is role]
            if not engines or any(model in load.models for load in engines):
                continue
            least = min(engines, key=lambda load: (load.use, load.engine_id))
            return _Proposal(LoadModel(least.engine_id, model), (role.value, model))
    return None


def _mean_use(loads: Sequence[EngineLoad]) -> float:
    return sum(load.use for load in loads) / len(loads)
