"""Builds the objects that the services of a relay host share."""

import random
import secrets
from dataclasses import dataclass

from kumquat_core.clock import Clock, SystemClock
from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.intake.intake_limits import IntakeLimits

from .accounts.account_lookup import AccountLookup
from .cluster_state import ClusterState
from .endless_responses import EndlessResponses
from .engine_exchange import EngineExchanges
from .engine_health import EngineHealth
from .engine_notices import EngineNotices
from .engine_pool import EnginePool
from .host_retry_budget import HostRetryBudget
from .owner_selection import OwnerSelection
from .poll_times import PollTimes
from .protocols import EngineDialect, StateKind, StateStore
from .rejected_answers import RejectedAnswers
from .relay_metrics import RelayMetrics
from .relay_rules import RelayRules
from .relay_settings import RelayOptions
from .shutdown import Shutdown
from .state_watch import StateWatch
from .store_retry_gate import StoreRetryGate

__all__ = ["HostParts", "build_watches"]


@dataclass
class HostParts:
    """The objects that the services of a host share."""

    clock: Clock
    rng: random.Random
    health: EngineHealth
    cluster_state: ClusterState
    pool: EnginePool
    retries: HostRetryBudget
    shutdown: Shutdown
    metrics: RelayMetrics
    rules: RelayRules

    @property
    def accounts(self) -> AccountLookup:
        """Return the lookup of client accounts in the configuration."""
        return AccountLookup(lambda: self.cluster_state.routes)

    @classmethod
    def from_options(cls, options: RelayOptions) -> "HostParts":
        """Create the shared objects of a starting host."""
        clock = SystemClock()
        health = EngineHealth(clock, options.rules)
        cluster_state = ClusterState(clock, health, options.notice_s)
        pool = EnginePool(clock)
        # A server that loses power tells nobody that its connections end.
        cluster_state.registry.on_address_taken = pool.close_idle
        return cls(
            clock,
            random.Random(options.seed or secrets.randbits(64)),
            health,
            cluster_state,
            pool,
            HostRetryBudget(clock, options.retries, options.host_id),
            Shutdown(clock, options.stop_grace_s),
            RelayMetrics(),
            options.rules,
        )

    def engine_exchanges(
        self, dialect: EngineDialect, notices: EngineNotices
    ) -> EngineExchanges:
        """Return the object over which all requests to engines go."""
        rejected = RejectedAnswers(self.clock, self.metrics.record_rejected_answer)
        endless = EndlessResponses(self.health, self.metrics.endless_responses.inc)
        return EngineExchanges(
            self.clock, self.pool, dialect, notices, rejected, endless
        )

    def intake_gate(self, limits: IntakeLimits) -> IntakeGate:
        """Return what bounds the memory of callers' requests."""
        return IntakeGate(limits, self.clock, self.metrics)

    def update_metrics(self) -> None:
        """Set the metrics of the shared objects to their current values."""
        metrics, cluster_state = self.metrics, self.cluster_state
        metrics.in_progress.set(self.shutdown.in_progress)
        metrics.engines.set(len(cluster_state.registry.all_entries()))
        metrics.opened.set(self.pool.opened)
        metrics.store_era.set(cluster_state.era or 0)
        if cluster_state.routes is not None:
            metrics.version.set(cluster_state.routes.version)


def build_watches(
    store: StateStore, options: RelayOptions, parts: HostParts, owners: OwnerSelection
) -> list[StateWatch]:
    """Return a watch for each kind of state in the store.

    A configuration version newer than the local one, as reported by an owner,
    makes the watch of the configuration poll again.
    """
    cluster_state, shutdown = parts.cluster_state, parts.shutdown
    times = PollTimes(
        options.notice_s,
        owners.is_eligible_owner,
        cluster_state.has_recent_owner_version,
        lambda: shutdown.idle,
    )
    retry_gate = StoreRetryGate()
    cluster_state.odd_entries.on_entry = parts.metrics.record_odd_entry
    watches_by_kind = {
        kind: StateWatch(
            kind,
            store,
            cluster_state,
            parts.rng,
            times,
            retry_gate,
            parts.metrics.record_store_poll,
        )
        for kind in StateKind
    }
    engines = watches_by_kind[StateKind.ENGINES]
    cluster_state.on_engines_uncertain = engines.read_again
    configuration = watches_by_kind[StateKind.CONFIGURATION]
    cluster_state.on_newer_version = lambda: configuration.repoll_if_behind(
        cluster_state.is_behind
    )
    return list(watches_by_kind.values())
