"""The owner's side of the even load: aggregates reports, computes shares.

Load pattern: up to 380 hosts that report every 0.5 to 2 s on 3 to 6 servers.
A report costs a few additions; the shares are computed at most every
``PLAN_S``, whatever the number of hosts.

The state is only in memory. An owner that begins replies without shares until
it has heard from the fleet; until then hosts decide by their own view.
"""

import logging
from dataclasses import dataclass, field

from kumquat_core.clock import Clock
from kumquat_core.load_messages import LoadReport, LoadShares, ServerShare
from kumquat_core.log_events import log_event

from ..cluster_state import ClusterState
from ..engine_registry import EngineEntry
from .fleet_size import MAX_SERVERS
from .server_weights import ServerFigures, compute_weights
from .server_window import ServerWindow
from .share_plan import plan_shares

__all__ = ["LoadOwner"]

# The shares change about as fast as the reports that they follow from.
PLAN_S = 0.1
# Two periods of the reports of active hosts: by then most have reported.
LEARNING_S = 1.0
# An owner without reports for this time begins anew.
IDLE_S = 4.0
# Answers without which an owner knows too little about the servers.
MIN_ANSWERS = 8.0
# Demand moves between domains within seconds.
DEMAND_HALF_LIFE_S = 0.5
# Servers that paused are expected to do so again for this time. Pauses come
# some seconds apart.
PAUSE_MEMORY_S = 10.0
# Silent servers and failure rates are logged when they change; a failure rate
# counts as high from here on.
HIGH_FAILURE_RATE = 0.1
SHARE_UNIT = 10_000
# Names in reports come from other hosts, so their number is bounded.
MAX_SERVICES = 256

logger = logging.getLogger(__name__)


@dataclass
class _Service:
    """What is known of the servers of one service, and their shares."""

    learning_until_s: float
    last_used_s: float
    planned_s: float = float("-inf")
    demand_decayed_s: float = float("-inf")
    paused_s: float = float("-inf")
    windows_by_id: dict[str, ServerWindow] = field(default_factory=dict)
    demand_by_domain: dict[str, float] = field(default_factory=dict)
    replies_by_domain: dict[str, tuple[ServerShare, ...]] = field(default_factory=dict)
    default_reply: tuple[ServerShare, ...] = ()
    shunned: frozenset[str] = frozenset()


class LoadOwner:
    """Aggregates the reports of the hosts of each plain service."""

    def __init__(self, clock: Clock, cluster_state: ClusterState) -> None:
        self._clock = clock
        self._cluster_state = cluster_state
        self._services_by_name: dict[str, _Service] = {}
        self._entries_by_service: dict[str, list[EngineEntry]] = {}
        self._entries_revision = -1

    def apply_report(self, message: LoadReport, host_id: str) -> LoadShares:
        """Add a host's report and return the shares for it."""
        now_s = self._clock.monotonic()
        entries = self._entries(message.service)
        if not 0 < len(entries) <= MAX_SERVERS:
            self._services_by_name.pop(message.service, None)
            return LoadShares(message.service)
        service = self._used_service(message.service, now_s)
        known_ids = {entry.id for entry in entries}
        sent = 0
        for load in message.servers:
            if load.engine in known_ids:
                window = service.windows_by_id.setdefault(
                    load.engine, ServerWindow(now_s)
                )
                window.apply(load, host_id, now_s)
                sent += load.sent
        domain = self._domain_of(host_id)
        demand = service.demand_by_domain
        demand[domain] = demand.get(domain, 0.0) + sent
        if now_s - service.planned_s >= PLAN_S:
            self._plan(message.service, service, entries, now_s)
        if now_s < service.learning_until_s:
            return LoadShares(message.service)
        shares = service.replies_by_domain.get(domain, service.default_reply)
        age_ms = round((now_s - service.planned_s) * 1000)
        return LoadShares(message.service, shares, age_ms)

    def remove_engine(self, engine_id: str) -> None:
        """Discard what is known of a server that was removed or restarted."""
        for service in self._services_by_name.values():
            service.windows_by_id.pop(engine_id, None)

    def _used_service(self, name: str, now_s: float) -> _Service:
        service = self._services_by_name.get(name)
        if service is None or now_s - service.last_used_s > IDLE_S:
            service = _Service(now_s + LEARNING_S, now_s)
            self._services_by_name[name] = service
            log_event(logger, "load_shares_learning", service=name)
        service.last_used_s = now_s
        return service

    def _plan(
        self, name: str, service: _Service, entries: list[EngineEntry], now_s: float
    ) -> None:
        """Compute the shares of all domains."""
        passed_s = now_s - max(service.demand_decayed_s, service.last_used_s - IDLE_S)
        service.planned_s = service.demand_decayed_s = now_s
        factor = 0.5 ** (passed_s / DEMAND_HALF_LIFE_S)
        for domain in service.demand_by_domain:
            service.demand_by_domain[domain] *= factor
        windows = service.windows_by_id
        for window in windows.values():
            window.decay(now_s)
        answered = sum(window.answered for window in windows.values())
        if answered < MIN_ANSWERS:
            service.replies_by_domain, service.default_reply = {}, ()
            return
        usual_ms = (
            sum(
                window.latency_ms * window.answered
                for window in windows.values()
                if window.latency_ms is not None
            )
            / answered
        )
        windows_by_id = {
            entry.id: windows.get(entry.id) or ServerWindow(now_s) for entry in entries
        }
        silent_s_by_id = {
            key: silent_s
            for key, window in windows_by_id.items()
            if (silent_s := window.silent_s(now_s)) > 0
        }
        figures_by_id = {
            entry.id: ServerFigures(
                windows_by_id[entry.id].latency_ms or usual_ms,
                windows_by_id[entry.id].cost_ms(usual_ms),
                entry.slots,
            )
            for entry in entries
        }
        rate_per_s = sum(window.rate_per_s for window in windows.values())
        if silent_s_by_id:
            service.paused_s = now_s
        weights_by_id = compute_weights(
            figures_by_id,
            rate_per_s,
            are_pausing=now_s - service.paused_s < PAUSE_MEMORY_S,
        )
        domains_by_id = {entry.id: entry.failure_domain for entry in entries}
        demand = {k: v for k, v in service.demand_by_domain.items() if v > 0.01}
        shares_by_domain = plan_shares(weights_by_id, domains_by_id, demand)
        service.demand_by_domain = demand
        service.replies_by_domain = {
            domain: _reply(shares, weights_by_id, silent_s_by_id)
            for domain, shares in shares_by_domain.items()
        }
        service.default_reply = _reply(weights_by_id, weights_by_id, silent_s_by_id)
        self._log_shunned(name, service, windows_by_id, set(silent_s_by_id))

    def _log_shunned(
        self,
        name: str,
        service: _Service,
        windows_by_id: dict[str, ServerWindow],
        silent: set[str],
    ) -> None:
        """Log which servers get fewer requests since they do not answer."""
        failing = {
            key
            for key, window in windows_by_id.items()
            if window.failure_rate > HIGH_FAILURE_RATE
        }
        shunned = frozenset(failing | silent)
        for engine_id in sorted(shunned - service.shunned):
            window = windows_by_id[engine_id]
            log_event(
                logger,
                "load_share_reduced",
                service=name,
                engine=engine_id,
                silent=engine_id in silent,
                failure_rate=round(window.failure_rate, 2),
                latency_ms=round(window.latency_ms or 0.0, 1),
            )
        for engine_id in sorted(service.shunned - shunned):
            log_event(logger, "load_share_restored", service=name, engine=engine_id)
        service.shunned = shunned

    def _entries(self, service: str) -> list[EngineEntry]:
        """Return the usable servers of a service.

        The registry may hold thousands of engines of other services.
        """
        registry = self._cluster_state.registry
        if self._entries_revision != registry.revision:
            self._entries_revision = registry.revision
            self._entries_by_service.clear()
        entries = self._entries_by_service.get(service)
        if entries is None and len(self._entries_by_service) < MAX_SERVICES:
            entries = list(registry.usable(service))
            self._entries_by_service[service] = entries
        return entries or []

    def _domain_of(self, host_id: str) -> str:
        entry = self._cluster_state.hosts_by_id.get(host_id)
        return entry.failure_domain if entry is not None else ""


def _reply(
    shares_by_id: dict[str, float],
    weights_by_id: dict[str, float],
    silent_s_by_id: dict[str, float],
) -> tuple[ServerShare, ...]:
    return tuple(
        ServerShare(
            engine_id,
            round(share * SHARE_UNIT),
            round(weights_by_id[engine_id] * SHARE_UNIT),
            round(silent_s_by_id.get(engine_id, 0.0) * 1000),
        )
        for engine_id, share in shares_by_id.items()
    )
