"""The entry-host process: creates and connects all of its parts."""

import logging
import random
from dataclasses import asdict
from functools import partial
from typing import Any

from kumquat_core.backend_client import HttpBackendClient
from kumquat_core.clock import SystemClock
from kumquat_core.engine_client import HttpEngineClient
from kumquat_core.frames import PeerIdentity
from kumquat_core.host_list_client import HttpHostListClient
from kumquat_core.http_client import create_session
from kumquat_core.idempotency import IdempotencyGuard
from kumquat_core.log_events import log_event
from kumquat_core.membership import ChangeKind, Membership, MembershipChange
from kumquat_core.metrics import RouterMetrics
from kumquat_core.object_client import HttpObjectClient
from kumquat_core.peer_messages import (
    AdmissionRequest,
    CancelAdmission,
    GrantsHeld,
    GrantsQuery,
    Message,
    Ping,
    PingRequest,
    PrefillDone,
    Release,
    SlowStep,
    TicketFetch,
)
from kumquat_core.request_ids import RequestIdGenerator
from kumquat_core.result_codes import RouterError
from kumquat_core.retry_budget import BudgetedRetries, DeadlineRetries, HedgeBudget
from kumquat_core.scheduling_policy import (
    KumquatPolicy,
    create_scheduler,
    decides_locally,
    parse_policy,
)
from kumquat_core.settings import Options
from kumquat_core.shard_scheduler import ShardScheduler
from kumquat_core.table_client import HttpTableClient
from kumquat_core.ticket_log import TicketLog
from kumquat_core.tickets import TicketStore
from kumquat_core.timers import TimerService

from .admin_api import AdminApi
from .background import BackgroundTasks
from .caller_api import CallerApi
from .decision_log import DecisionLog
from .drain import Drain
from .engine_orders import EngineCommandSender
from .held_grants import HeldGrants, TrackingAdmissionClient
from .host_directory import HostDirectory
from .local_admission import LocalAdmissionClient
from .membership_driver import MembershipDriver
from .metered_clients import MeteredTableClient
from .model_path import ModelPath
from .owner_client import OwnerClient
from .peer_links import PeerLinks
from .peer_server import PeerServer
from .plain_path import PlainPath
from .request_observer import RequestObserver
from .shard_owners import CreateScheduler, OwnedShards
from .status_report import engine_documents, owners_by_shard, resident_bytes
from .supervisor import Supervisor, TaskService
from .ticket_sync import TicketSync

__all__ = ["EntryHost"]

OWNER_UPDATE_PERIOD_S = 0.1
BACKGROUND_DRAIN_TIMEOUT_S = 5.0
GRANTS_QUERY_TIMEOUT_S = 0.5

# Before the process ends, callers that read slowly get the rest of their
# answers, unless it ends early.
ANSWER_TIMEOUT_S = 30.0

# Before the process ends, it records the outcomes of non-repeatable calls. In
# an outage of the store it stops trying after this time.
OUTCOME_DRAIN_TIMEOUT_S = 30.0

# The same when the requests have used up the drain limit.
MIN_OUTCOME_DRAIN_TIMEOUT_S = 2.0

# Bounds the tickets that a new host reads in addition to the snapshot: those
# accepted within this period.
SNAPSHOT_PERIOD_S = 60.0

logger = logging.getLogger(__name__)


class _TimerTask(TaskService):
    """Runs the timer service under the supervisor."""

    def __init__(self, timers: TimerService) -> None:
        super().__init__()
        self._timers = timers

    async def run(self) -> None:
        """Run the timers until cancelled."""
        await self._timers.run()


class EntryHost:
    """One entry-host process; must be created inside a running event loop."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._policy = parse_policy(options.policy, options.disabled_rules)
        self._clock = SystemClock()
        self._rng = random.Random(f"{options.seed}/{options.host_id}")
        self._identity = PeerIdentity(options.host_id, self._clock.wall_ms())
        self._timers = TimerService(self._clock)
        self._background = BackgroundTasks()
        self._metrics = RouterMetrics()
        self._decisions = DecisionLog(self._clock)
        self._observer = RequestObserver(self._metrics, self._decisions)
        limits = options.limits
        self._drain = Drain(
            limits.max_streams,
            self._clock,
            limits.drain_notice_s,
            limits.drain_limit_s,
        )
        self._tickets = TicketStore()
        self._held_grants = HeldGrants(options.host_id, self._identity.incarnation)
        self._create_platform_clients()
        self._create_peer_services()
        self._create_shard_services()
        self._supervisor = self._create_supervisor()

    def _create_platform_clients(self) -> None:
        """Create the clients of the external services and of the engines."""
        options, timing = self._options, self._options.timing
        connect_s, store_s = timing.engine_connect_timeout_s, timing.store_timeout_s
        self._session = create_session(connect_s)
        self._single_use_session = create_session(connect_s, reuse_connections=False)
        self._directory = HostDirectory(
            HttpHostListClient(self._session, options.host_list_url, store_s)
        )
        self._table_client = MeteredTableClient(
            HttpTableClient(self._session, options.table_service_url, store_s),
            self._metrics,
            self._clock,
        )
        self._object_client = HttpObjectClient(
            self._session, options.object_store_url, store_s
        )
        self._engine_client = HttpEngineClient(
            self._session, timing.stream_idle_timeout_s
        )
        self._backend_client = HttpBackendClient(self._single_use_session)

    def _create_peer_services(self) -> None:
        """Create membership, peer links and ticket synchronisation."""
        options = self._options
        self._membership = Membership.from_config(
            options,
            self._identity.incarnation,
            self._clock,
            lambda: self._tickets.position,
        )
        self._links = PeerLinks(
            self._identity,
            options.peer_key,
            self._membership.address_of,
            self._clock,
            self._rng,
            self._membership.schedule_probe,
            self._metrics.add_peer_bytes,
        )
        self._membership_driver = MembershipDriver(
            self._membership,
            self._links,
            options.timing,
            self._clock,
            self._on_ticket_position,
        )
        self._membership.subscribe(self._on_member_change)
        self._ticket_sync = TicketSync(
            options.host_id,
            self._tickets,
            TicketLog(self._table_client, self._object_client, self._rng),
            self._links.call,
            self._ticket_peers,
            self._rng,
        )

    def _create_shard_services(self) -> None:
        """Create the shards that this host owns and the admission clients."""
        host_id = self._options.host_id
        self._owners = OwnedShards(
            host_id,
            self._options.region,
            self._clock,
            self._engine_client,
            self._membership,
            self._background,
            self._query_grants,
            lambda: self._directory.backend_states_by_id,
            self._observer,
            self._create_shard_scheduler(self._rng),
            EngineCommandSender(
                host_id,
                self._identity.incarnation,
                self._table_client,
                self._engine_client,
            ),
        )
        self._owner_client = OwnerClient(
            host_id,
            self._clock,
            self._owners,
            self._links,
            self._membership.owner_candidates,
            self._rng,
        )
        self._local_admission = LocalAdmissionClient(
            self._engine_client,
            lambda pool: create_scheduler(self._policy, pool, self._clock, self._rng),
        )

    def _create_model_path(self, ids: RequestIdGenerator) -> ModelPath:
        """Create the model path with the admission client of the policy."""
        is_local = decides_locally(self._policy)
        admissions = self._local_admission if is_local else self._owner_client
        retries = DeadlineRetries(self._rng) if is_local else BudgetedRetries(self._rng)
        return ModelPath(
            self._clock,
            self._engine_client,
            TrackingAdmissionClient(admissions, self._held_grants),
            self._background,
            ids,
            self._observer,
            retries,
            self._hedge_budget(),
        )

    def _create_plain_path(self) -> PlainPath:
        self._guard = IdempotencyGuard.from_config(
            self._options,
            table=self._table_client,
            backend=self._backend_client,
            clock=self._clock,
            is_live=self._membership.is_live,
        )
        return PlainPath(
            self._clock,
            self._backend_client,
            self._directory,
            self._guard,
            self._rng,
            self._observer,
        )

    def _create_supervisor(self) -> Supervisor:
        """Create all services; the caller API starts last and stops first."""
        options = self._options
        ids = RequestIdGenerator(options.host_id, self._identity.incarnation)
        caller_api = self._caller_api = CallerApi(
            options,
            self._tickets,
            ids,
            self._create_model_path(ids),
            self._create_plain_path(),
            self._drain,
            self._clock,
            self._observer,
        )
        admin_api = AdminApi(
            options.admin_listen,
            self._is_ready,
            self._status,
            self._drain,
            self._render_metrics,
            self._decisions,
        )
        peer_server = PeerServer(
            options.peer_listen,
            self._identity,
            options.peer_key,
            self._on_message,
            self._metrics.add_peer_bytes,
        )
        timers = _TimerTask(self._timers)
        return Supervisor(
            [timers, peer_server, self._membership_driver, admin_api, caller_api]
        )

    @classmethod
    def from_config(cls, options: Options) -> "EntryHost":
        """Return an entry host that is not started yet."""
        return cls(options)

    async def start(self) -> None:
        """Read the host list and the tickets, then start all services."""
        timing = self._options.timing
        # The host list comes first: in an outage of the store the tickets are
        # fetched from its hosts.
        await self._refresh_hosts()
        await self._ticket_sync.start()
        self._owners.update(self._tickets.configuration)
        self._timers.every(timing.ticket_poll_s, self._ticket_sync.poll, "tickets")
        self._timers.every(
            SNAPSHOT_PERIOD_S, self._ticket_sync.write_snapshot, "ticket_snapshot"
        )
        self._timers.every(timing.host_list_poll_s, self._refresh_hosts, "host_list")
        reports_per_poll = max(
            1, round(timing.max_reports_per_s * timing.report_poll_s)
        )
        poll_reports = partial(self._owners.poll_reports, reports_per_poll)
        self._timers.every(timing.report_poll_s, poll_reports, "engine_reports")
        self._timers.every(
            timing.report_poll_s, self._poll_local_reports, "local_reports"
        )
        self._timers.every(OWNER_UPDATE_PERIOD_S, self._update_owners, "owners")
        await self._supervisor.start()
        log_event(
            logger,
            "host_started",
            host=self._identity.host_id,
            incarnation=self._identity.incarnation,
            position=self._tickets.position,
        )

    def change_drain_limit(self, limit_s: float) -> None:
        """Follow a changed ``drain_limit_s``, also while a stop goes on."""
        self._drain.change_limit(limit_s)
        log_event(
            logger,
            "drain_limit_changed",
            limit_s=limit_s,
            in_progress=self._drain.in_progress,
        )

    async def drain(self) -> bool:
        """Refuse new requests and wait for those in progress.

        Returns False when the drain limit was reached first.
        """
        self._drain.begin_stop()
        log_event(
            logger,
            "drain_started",
            in_progress=self._drain.in_progress,
            left_s=round(self._drain.left_s, 1),
        )
        finished = await self._drain.wait_for_stop()
        if not finished:
            self._cut_requests("drain_limit")
        left_s = max(MIN_OUTCOME_DRAIN_TIMEOUT_S, self._drain.left_s)
        unsettled = await self._guard.drain(min(OUTCOME_DRAIN_TIMEOUT_S, left_s))
        log_event(
            logger,
            "drain_ended",
            finished=finished,
            in_progress=self._drain.in_progress,
            unsettled=unsettled,
        )
        return finished

    async def stop(self, reason: str = "drained") -> None:
        """End the callers' side, announce the leave and stop all services.

        ``reason`` says in the log why the process exits now. Requests that
        are still in progress are cut.
        """
        log_event(
            logger,
            "exit_decided",
            reason=reason,
            in_progress=self._drain.in_progress,
            left_s=round(self._drain.left_s, 1),
        )
        cut = self._cut_requests(reason)
        # Callers are answered while this host is a member: the others take
        # the requests of a host that has left for abandoned.
        await self._caller_api.close(
            0.0 if cut else min(ANSWER_TIMEOUT_S, self._drain.left_s)
        )
        await self._membership_driver.announce_leave()
        await self._supervisor.stop()
        await self._background.drain(BACKGROUND_DRAIN_TIMEOUT_S)
        await self._links.close()
        await self._session.close()
        await self._single_use_session.close()
        log_event(
            logger,
            "host_stopped",
            host=self._identity.host_id,
            reason=reason,
            cut=cut,
            unsettled=self._guard.unfinished_count,
        )

    def _cut_requests(self, reason: str) -> int:
        cut = self._drain.cut_requests(reason)
        self._metrics.add_cut_requests(cut)
        return cut

    async def _poll_local_reports(self) -> None:
        await self._local_admission.poll_reports(self._tickets.configuration)

    async def _update_owners(self) -> None:
        self._owners.update(self._tickets.configuration)

    def _create_shard_scheduler(self, rng: random.Random) -> CreateScheduler:
        rules = self._policy.rules if isinstance(self._policy, KumquatPolicy) else None
        return lambda shard_id, clock: ShardScheduler(shard_id, clock, rng, rules)

    def _hedge_budget(self) -> HedgeBudget | None:
        match self._policy:
            case KumquatPolicy(rules) if rules.hedging:
                return HedgeBudget()
        return None

    async def _refresh_hosts(self) -> None:
        if await self._directory.refresh():
            self._membership.apply_host_list(self._directory.hosts())

    def _on_member_change(self, change: MembershipChange) -> None:
        """Close the link to a host that is declared dead."""
        if change.kind is ChangeKind.DIED:
            self._links.drop(change.host_id)

    def _on_ticket_position(self, host_id: str, position: int) -> None:
        """Start to fetch tickets when a peer has a higher log position."""
        if position > self._tickets.position:
            fetch = self._ticket_sync.on_peer_position(host_id, position)
            self._background.spawn(fetch, "fetch_tickets")

    def _ticket_peers(self) -> list[str]:
        """Return the hosts from which tickets may be fetched.

        A host that knows no live peer yet, for example at its start, also
        uses the listed hosts of its region.
        """
        live = self._membership.live_host_ids()
        if len(live) > 1:
            return live
        listed = {
            host.host_id
            for host in self._directory.hosts()
            if host.region == self._options.region
        }
        return sorted({*live, *listed})

    async def _query_grants(
        self, host_id: str, query: GrantsQuery
    ) -> GrantsHeld | None:
        """Return the grants that a host holds, or None without a reply."""
        if host_id == self._identity.host_id:
            return self._held_grants.answer_query(query)
        try:
            reply = await self._links.call(host_id, query, GRANTS_QUERY_TIMEOUT_S)
        except RouterError:
            return None
        return reply if isinstance(reply, GrantsHeld) else None

    async def _on_message(self, peer: PeerIdentity, message: Message) -> Message | None:
        """Handle a message of a peer and return the reply, if it has one."""
        match message:
            case AdmissionRequest():
                return await self._owners.admit(message)
            case PrefillDone() | SlowStep() | Release() | CancelAdmission():
                self._owners.handle(message)
            case GrantsQuery():
                return self._held_grants.answer_query(message)
            case Ping() | PingRequest():
                return await self._membership_driver.handle(peer.host_id, message)
            case TicketFetch():
                return self._ticket_sync.answer_fetch(message)
        return None

    def _is_ready(self) -> bool:
        return self._tickets.position > 0 and not self._membership.superseded

    def _status(self) -> dict[str, Any]:
        configuration = self._tickets.configuration
        live_hosts = self._membership.live_host_ids()
        return {
            "host_id": self._identity.host_id,
            "incarnation": self._identity.incarnation,
            "region": self._options.region,
            "failure_domain": self._options.failure_domain,
            "ready": self._is_ready() and not self._drain.draining,
            "ticket_position": self._tickets.position,
            "ticket_number": self._tickets.number,
            "ticket_age_s": self._table_client.scan_age_s,
            "in_progress": self._drain.in_progress,
            "draining": self._drain.draining,
            "live_hosts": live_hosts,
            "owned_shards": self._owners.shard_ids(),
            "owners": owners_by_shard(
                configuration,
                self._options.region,
                self._membership.owner_candidates(),
            ),
            "lost_regions": sorted(self._membership.lost_regions),
            "shards": [asdict(summary) for summary in self._owners.summaries()],
            "engines": engine_documents(
                configuration,
                self._options.region,
                self._owners.held_pieces_by_engine(),
            ),
            "store": asdict(self._table_client.health()),
            "resident_bytes": resident_bytes(),
        }

    def _render_metrics(self) -> bytes:
        """Return all metrics after setting the gauges to the current state."""
        self._metrics.set_tickets(self._tickets.position, self._table_client.scan_age_s)
        self._metrics.set_members(self._membership.counts_by_state())
        self._metrics.set_ready(self._is_ready() and not self._drain.draining)
        return self._metrics.render()
