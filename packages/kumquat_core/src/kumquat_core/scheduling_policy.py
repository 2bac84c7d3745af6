"""The policies by name, and the interface that all of them have."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Result

from .baselines import LeastReportedLoad, LocalScheduler, RoundRobin, TwoChoices
from .clock import Clock
from .configuration import Configuration, Engine
from .engine_client import EngineReport
from .peer_messages import (
    AdmissionRequest,
    Grant,
    PrefillDone,
    Refusal,
    Release,
    ShardSummary,
)
from .result_codes import ResultCode, RouterError
from .rule_set import RuleSet
from .shard_scheduler import ShardScheduler

__all__ = [
    "Kumquat",
    "Policy",
    "Scheduler",
    "create_scheduler",
    "decides_locally",
    "policy_of",
]


@dataclass(frozen=True)
class Kumquat:
    """One owner for each shard, with exact accounts and a queue."""

    rules: RuleSet = field(default_factory=RuleSet)


Policy = Kumquat | RoundRobin | LeastReportedLoad | TwoChoices


class Scheduler(Protocol):
    """What all policies have in common."""

    @property
    def engine_ids(self) -> list[str]:
        """Return the engines of the shard."""

    def update_engines(self, engines: Iterable[Engine]) -> None:
        """Take over the engines of the configuration in force."""

    def update_configuration(
        self, configuration: Configuration, shard_count: int = 1
    ) -> None:
        """Take over classes, models and tenants."""

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Return a grant, or the reason why there is none."""

    def prefill_done(self, message: PrefillDone) -> None:
        """Note that a prefill ended."""

    def release(self, message: Release) -> None:
        """Note that a request ended."""

    def cancel(self, request_id: str) -> None:
        """Drop a request."""

    def observe_report(self, engine_id: str, report: EngineReport) -> None:
        """Take a load report into account."""

    def summary(self) -> ShardSummary:
        """Return the state of the shard for replies."""


def policy_of(name: str, disabled_rules: Iterable[str] = ()) -> Policy:
    """Return the policy of its name in the settings.

    Raises ``RouterError`` with ``SETTINGS_INVALID`` for an unknown name.
    """
    match name:
        case "kumquat":
            try:
                return Kumquat(RuleSet.without(disabled_rules))
            except ValueError as error:
                code = ResultCode.SETTINGS_INVALID
                raise RouterError(code, f"disabled_rules: {error}") from error
        case "round_robin":
            return RoundRobin()
        case "least_reported_load":
            return LeastReportedLoad()
        case "two_choices":
            return TwoChoices()
        case _:
            raise RouterError(ResultCode.SETTINGS_INVALID, f"policy: {name!r}")


def decides_locally(policy: Policy) -> bool:
    """Tell whether each host decides by itself, without a shard owner."""
    return not isinstance(policy, Kumquat)


def create_scheduler(
    policy: Policy, shard_id: str, clock: Clock, rng: random.Random
) -> Scheduler:
    """Return a scheduler for one shard."""
    match policy:
        case Kumquat(rules):
            return ShardScheduler(shard_id, clock, rng, rules)
        case RoundRobin() | LeastReportedLoad() | TwoChoices():
            return LocalScheduler(shard_id, clock, rng, policy)
