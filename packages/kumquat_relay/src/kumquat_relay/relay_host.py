"""Builds and runs the services of a relay host."""

import logging
import secrets

import aiomisc

from kumquat_core.frames import PeerIdentity
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import Message
from kumquat_core.timers import TimerService
from kumquatrouter.peer_links import PeerLinks
from kumquatrouter.peer_server import PeerServer
from kumquatrouter.supervisor import Supervisor

from .admission import Admission
from .caller_server import CallerServer
from .command_lease import CommandLease
from .cutoff import Cutoff
from .engine_calls import EngineCalls
from .engine_notices import EngineNotices
from .engine_probe import EngineProbe
from .engine_registry import EngineEntry
from .host_limits import HostLimits
from .host_parts import HostParts, build_watches
from .host_quarantine import HostQuarantine
from .loop_delay import watch_loop
from .message_dispatch import dispatch_message
from .owner_selection import OwnerSelection
from .plain_balancer import PlainBalancer
from .plain_relay import PlainRelay
from .protocols import EngineDialect, HostEntry, StateStore
from .queue_owner import QueueOwner
from .relay_metrics import RelayMetrics
from .relay_settings import RelayOptions
from .report_period import REPORT_S
from .request_age import RequestAge
from .response_memory import ResponseMemory
from .role_controller import RoleController
from .status_server import MetricsServer, ReadinessServer
from .store_registration import StoreRegistration
from .stream_relay import StreamRelay
from .timer_task import TimerTask

__all__ = ["RelayHost"]

# Periods in seconds. They are short compared to the limits of two seconds that
# depend on them, and long compared to the time that the work takes.
CLEANUP_PERIOD_S = 0.5
PLANNING_PERIOD_S = 0.5
COMMAND_LEASE_NAME = "engine_orders"
PEER_KEY_BYTES = 32

logger = logging.getLogger(__name__)


class RelayHost:
    """A relay host from its start to its graceful shutdown."""

    def __init__(
        self,
        options: RelayOptions,
        store: StateStore,
        dialect: EngineDialect,
        parts: HostParts,
    ) -> None:
        self._options = options
        self._store = store
        self._dialect = dialect
        self._parts = parts
        self._incarnation = parts.clock.wall_ms()
        self._owner_selection = OwnerSelection(
            options.host_id,
            parts.clock,
            parts.cluster_state.strengths_by_host_id,
            options.strength,
            parts.rules,
        )
        self._peer_links = PeerLinks(
            PeerIdentity(options.host_id, self._incarnation),
            secrets.token_bytes(PEER_KEY_BYTES),
            parts.cluster_state.host_address,
            parts.clock,
            parts.rng,
            count_odd=parts.metrics.record_odd_message,
            on_link_closed=lambda peer: self._limits.quotas.gate.check_owner(peer),
            on_other_key=lambda: self._registration.check_key(),
        )
        self._limits = HostLimits.from_parts(
            options, parts, self._peer_links, self._owner_selection
        )
        self._quarantine = HostQuarantine.from_parts(
            options.host_id, parts, self._peer_links, self._owner_selection
        )
        self._notices = EngineNotices(
            parts.clock, parts.cluster_state, self._limits.known
        )
        self._exchanges = parts.engine_exchanges(dialect, self._notices)
        self._quarantine.follow_notices(self._notices)
        self._balancer = PlainBalancer.from_parts(
            parts, options.failure_domain, self._notices, self._limits.even_load
        )
        self._probe = EngineProbe(
            parts.pool, parts.health, parts.cluster_state.registry
        )
        self._queue_owner = QueueOwner(
            options.host_id,
            parts.clock,
            parts.cluster_state,
            parts.health,
            self._probe,
            self._limits.owner,
            self._quarantine.prompts,
            self._quarantine.observer,
            lambda service: (
                self._owner_selection.preferred_owner(service) == options.host_id
            ),
            parts.rules,
        )
        self._incarnations_by_host_id: dict[str, int] = {}
        self._admission = Admission(
            options.host_id,
            parts.clock,
            parts.cluster_state,
            self._peer_links,
            self._owner_selection,
            self._queue_owner,
            self._limits.known,
            self._quarantine.prompts,
            parts.rules,
        )
        self._supervisor: Supervisor | None = None
        self._callers: CallerServer | None = None
        self._peer_services: Supervisor | None = None
        self._peer_key: bytes | None = None
        self._registration = StoreRegistration(
            HostEntry(
                options.host_id,
                options.peers,
                options.failure_domain,
                self._incarnation,
                options.strength,
            ),
            store,
            secrets.token_bytes(PEER_KEY_BYTES),
            parts.rng,
            self._listen_for_peers,
            parts.metrics.rewritten_rows.inc,
        )
        self._lease = CommandLease(
            COMMAND_LEASE_NAME,
            options.host_id,
            store,
            options.order_lease_s,
            parts.clock,
        )
        self._role_controller = RoleController(
            parts.clock,
            parts.cluster_state,
            parts.health,
            self._queue_owner,
            self._lease,
            self._exchanges,
            dialect,
            options.host_id,
            self._notices,
            lambda service: self._owner_selection.owner(service) == options.host_id,
        )
        parts.cluster_state.on_engines_changed = self._queue_owner.engines_changed
        parts.cluster_state.on_engine_removed = self._engine_removed
        parts.cluster_state.on_engine_restarted = self._clear_notices
        self._notices.on_notice = self._admission.forward_notice
        parts.cluster_state.on_hosts_changed = self._hosts_changed
        parts.cluster_state.on_host_unreadable = self._registration.repair
        parts.cluster_state.on_era_changed = self._era_changed
        self._watches = build_watches(store, options, parts, self._owner_selection)

    @classmethod
    def from_config(
        cls, options: RelayOptions, store: StateStore, dialect: EngineDialect
    ) -> "RelayHost":
        """Create a host and its parts from its options."""
        parts = HostParts.from_options(options)
        return cls(options, store, dialect, parts)

    @property
    def metrics(self) -> RelayMetrics:
        """Return the metrics of this host."""
        return self._parts.metrics

    def is_ready(self) -> bool:
        """Tell whether the load balancer should send new callers here."""
        return self._parts.cluster_state.ready and not self._parts.shutdown.draining

    async def start(self) -> None:
        """Start all services and the registration of the host."""
        options, parts = self._options, self._parts
        log_event(
            logger,
            "started",
            host=options.host_id,
            failure_domain=options.failure_domain,
            incarnation=self._incarnation,
            disabled_rules=",".join(parts.rules.disabled()) or None,
        )
        timers = TimerService(parts.clock)
        timers.every(CLEANUP_PERIOD_S, self._clean_up, "sweep")
        timers.every(REPORT_S, self._admission.report, "report")
        timers.every(PLANNING_PERIOD_S, self._plan_roles, "plan")
        self._limits.subscribe(timers)
        watch_loop(timers, parts.clock, parts.metrics.loop_delays.observe)
        self._callers = self._build_caller_server(timers)
        services: list[aiomisc.Service] = [
            ReadinessServer(options.readiness, self.is_ready),
            MetricsServer(options.metrics, self._metrics_text),
            *self._watches,
            self._callers,
            TimerTask(timers),
        ]
        self._supervisor = Supervisor(services)
        await self._supervisor.start()
        self._registration.start()

    async def drain(self) -> None:
        """Begin the graceful shutdown and return when the process may exit.

        Removes this host from the host list, so that others take over its
        queues.
        """
        shutdown = self._parts.shutdown
        shutdown.begin()
        log_event(
            logger,
            "stopping",
            in_progress=shutdown.in_progress,
            grace_s=shutdown.grace_s,
        )
        await self._registration.withdraw()
        assert self._callers is not None
        await self._callers.drain()

    async def stop(self) -> None:
        """Stop all services, first the callers', which use the others."""
        in_progress = self._parts.shutdown.in_progress
        self._registration.cancel()
        if self._callers is not None:
            await self._callers.stop()
        if self._supervisor is not None:
            await self._supervisor.stop()
        if self._peer_services is not None:
            await self._peer_services.stop()
        self._probe.close()
        self._quarantine.observer.close()
        self._parts.pool.close()
        await self._store.close()
        log_event(logger, "stopped", in_progress=in_progress)

    def reload(self, options: RelayOptions) -> None:
        """Apply the options that may change while the process runs."""
        self._parts.retries.update_settings(options.retries)
        self._parts.shutdown.grace_s = options.stop_grace_s
        log_event(logger, "reloaded", host=options.host_id)

    def _build_caller_server(self, timers: TimerService) -> CallerServer:
        options, parts = self._options, self._parts
        gate, cutoff = parts.intake_gate(options.intake), Cutoff()
        gate.subscribe(timers)
        plain = PlainRelay(
            parts.clock,
            parts.pool,
            self._balancer,
            parts.health,
            parts.retries,
            self._dialect,
            self._exchanges,
            memory := ResponseMemory.from_gate(gate),
            self._limits.permits,
            self._quarantine.plain,
            cutoff,
            parts.accounts,
        )
        calls = EngineCalls.from_parts(
            parts, self._dialect, self._limits.known, self._exchanges
        )
        streams = StreamRelay(
            parts.clock,
            parts.cluster_state,
            self._admission,
            calls,
            parts.retries,
            RequestAge(),
            parts.metrics,
            self._notices,
            memory,
            self._limits.known,
            self._quarantine,
            cutoff,
            parts.rules,
        )
        return CallerServer(
            options.callers,
            parts.clock,
            parts.cluster_state,
            plain,
            streams,
            self._dialect,
            parts.shutdown,
            parts.metrics,
            cutoff,
            self._limits.quotas.gate,
            gate,
        )

    async def _listen_for_peers(self, key: bytes) -> None:
        """Start the server for peers, again if the key has changed."""
        if key == self._peer_key:
            return
        if self._peer_services is not None:
            log_event(logger, "peer_key_changed", host=self._options.host_id)
            await self._peer_services.stop()
        self._peer_key = key
        identity = PeerIdentity(self._options.host_id, self._incarnation)
        self._peer_links.use_key(key)
        self._quarantine.prompts.marks.use_key(key)
        server = PeerServer(
            self._options.peers,
            identity,
            key,
            self._on_message,
            count_odd=self._parts.metrics.record_odd_message,
            on_other_key=self._registration.check_key,
        )
        self._peer_services = Supervisor([server])
        await self._peer_services.start()

    async def _on_message(self, peer: PeerIdentity, message: Message) -> Message | None:
        return await dispatch_message(
            message, peer.host_id, self._queue_owner, self._limits, self._quarantine
        )

    def _hosts_changed(self) -> None:
        """Apply the current number of hosts and reset restarted ones."""
        hosts = self._parts.cluster_state.hosts_by_id
        self._parts.retries.host_count = max(1, len(hosts))
        self._limits.permits.host_count = max(1, len(hosts))
        self._share_connections()
        self._limits.quotas.gate.check_owner()
        for host_id, entry in hosts.items():
            if self._incarnations_by_host_id.get(host_id) != entry.incarnation:
                self._incarnations_by_host_id[host_id] = entry.incarnation
                self._owner_selection.reset_host(host_id)

    def _era_changed(self) -> None:
        """Read everything again, since the store came back from a copy."""
        era = self._parts.cluster_state.era
        assert era is not None
        self._lease.start_era(era)
        self._registration.restart()
        for watch in self._watches:
            watch.read_again()

    def _share_connections(self) -> None:
        """Apply this host's part of the connections that engines accept."""
        cluster_state = self._parts.cluster_state
        self._parts.pool.set_connection_limit(
            cluster_state.max_connections(), len(cluster_state.hosts_by_id)
        )

    def _engine_removed(self, entry: EngineEntry) -> None:
        """Discard what this host keeps about a removed engine."""
        self._balancer.remove(entry.id)
        self._clear_notices(entry)
        self._role_controller.remove_engines([entry.id])
        self._parts.pool.close_idle(entry.address)

    def _clear_notices(self, entry: EngineEntry) -> None:
        """Discard what an engine said before it was removed or restarted."""
        self._notices.clear_pause(entry.id)
        self._limits.remove_engine(entry.id)
        self._quarantine.engine_removed(entry)

    async def _clean_up(self) -> None:
        """Remove engines, connections and runs whose time has expired."""
        self._parts.cluster_state.apply_deferred_removals()
        self._parts.pool.close_stale()
        self._queue_owner.drop_expired()
        self._limits.owner.refresh_shares()
        self._share_connections()

    async def _plan_roles(self) -> None:
        if self._parts.rules.role_changes and not self._parts.shutdown.draining:
            await self._role_controller.step()

    def _metrics_text(self) -> bytes:
        parts, metrics = self._parts, self._parts.metrics
        metrics.waiting.set(sum(self._queue_owner.waiting_counts().values()))
        metrics.held_slots.set(self._admission.held_run_count)
        self._limits.update_metrics(metrics)
        self._quarantine.update_metrics(metrics)
        parts.update_metrics()
        return metrics.text()
