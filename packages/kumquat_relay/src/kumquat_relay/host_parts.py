"""Builds the parts that all services of a relay host share."""

import random
import secrets
from dataclasses import dataclass

from kumquat_core.clock import Clock, SystemClock

from .beliefs import Beliefs
from .engine_health import EngineHealth
from .engine_pool import EnginePool
from .owner_choice import OwnerChoice
from .poll_times import PollTimes
from .protocols import StateKind, StateStore
from .relay_metrics import RelayMetrics
from .relay_rules import RelayRules
from .relay_settings import RelayOptions
from .retry_share import RetryShare
from .shutdown import Shutdown
from .state_watch import StateWatch
from .store_reach import StoreReach

__all__ = ["HostParts", "build_watches"]


@dataclass
class HostParts:
    """The parts that the services of a host share."""

    clock: Clock
    rng: random.Random
    health: EngineHealth
    beliefs: Beliefs
    pool: EnginePool
    retries: RetryShare
    shutdown: Shutdown
    metrics: RelayMetrics
    rules: RelayRules

    @classmethod
    def from_options(cls, options: RelayOptions) -> "HostParts":
        """Return the parts of a host that has just started."""
        clock = SystemClock()
        health = EngineHealth(clock, options.rules)
        return cls(
            clock,
            random.Random(options.seed or secrets.randbits(64)),
            health,
            Beliefs(clock, health, options.notice_s),
            EnginePool(clock),
            RetryShare(clock, options.retries),
            Shutdown(clock, options.stop_grace_s),
            RelayMetrics(),
            options.rules,
        )


def build_watches(
    store: StateStore, options: RelayOptions, parts: HostParts, owners: OwnerChoice
) -> list[StateWatch]:
    """Return a watch for each kind of state in the store."""
    beliefs, shutdown = parts.beliefs, parts.shutdown
    times = PollTimes(
        options.notice_s, owners.may_own, beliefs.hinted, lambda: shutdown.idle
    )
    reach = StoreReach()
    watches_by_kind = {
        kind: StateWatch(
            kind, store, beliefs, parts.rng, times, reach, parts.metrics.store_polled
        )
        for kind in StateKind
    }
    configuration = watches_by_kind[StateKind.CONFIGURATION]
    beliefs.on_behind = lambda: configuration.note_behind(beliefs.is_behind)
    return list(watches_by_kind.values())
