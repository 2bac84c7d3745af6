"""Scheduling policies by name, and the interface of their schedulers."""

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
from .retry_budget import HedgeBudget
from .rule_set import RuleSet
from .shard_scheduler import ShardScheduler

__all__ = [
    "KumquatPolicy",
    "Policy",
    "Scheduler",
    "create_hedge_budget",
    "create_scheduler",
    "decides_locally",
    "parse_policy",
]


@dataclass(frozen=True)
class KumquatPolicy:
    """Each shard has one owner, which keeps an exact ledger and a queue."""

    rules: RuleSet = field(default_factory=RuleSet)


Policy = KumquatPolicy | RoundRobin | LeastReportedLoad | TwoChoices


class Scheduler(Protocol):
    """Interface of the schedulers of all policies."""

    @property
    def engine_ids(self) -> list[str]:
        """Return the ids of the shard's engines."""

    def update_engines(self, engines: Iterable[Engine]) -> None:
        """Apply the engines of the current configuration."""

    def update_configuration(
        self, configuration: Configuration, shard_count: int = 1
    ) -> None:
        """Apply request classes, models and tenants of a configuration."""

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Return a grant, or a refusal with its reason."""

    def prefill_done(self, message: PrefillDone) -> None:
        """Record that a prefill ended."""

    def release(self, message: Release) -> None:
        """Record that a request ended."""

    def cancel(self, request_id: str) -> None:
        """Cancel a request."""

    def observe_report(self, engine_id: str, report: EngineReport) -> None:
        """Process a load report of an engine."""

    def summary(self) -> ShardSummary:
        """Return the shard state that is attached to replies."""


def parse_policy(name: str, disabled_rules: Iterable[str] = ()) -> Policy:
    """Return the policy for its name in the settings.

    Raises ``RouterError`` with ``SETTINGS_INVALID`` if the policy or a rule is
    unknown.
    """
    match name:
        case "kumquat":
            try:
                return KumquatPolicy(RuleSet.without(disabled_rules))
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
    """Return whether each host decides by itself, without a shard owner."""
    return not isinstance(policy, KumquatPolicy)


def create_scheduler(
    policy: Policy, shard_id: str, clock: Clock, rng: random.Random
) -> Scheduler:
    """Return a scheduler for one shard."""
    match policy:
        case KumquatPolicy(rules):
            return ShardScheduler(shard_id, clock, rng, rules)
        case RoundRobin() | LeastReportedLoad() | TwoChoices():
            return LocalScheduler(shard_id, clock, rng, policy)


def create_hedge_budget(policy: Policy) -> HedgeBudget | None:
    """Return the budget of a policy that sends second prefills, or None."""
    match policy:
        case KumquatPolicy(rules) if rules.hedging:
            return HedgeBudget()
    return None
