"""The entry-host process: creates and connects all of its parts."""

import logging
import random
from functools import partial

from kumquat_core.clock import SystemClock
from kumquat_core.frames import PeerIdentity
from kumquat_core.idempotency import IdempotencyGuard
from kumquat_core.intake.intake_gate import IntakeGate
from kumquat_core.log_events import log_event
from kumquat_core.membership import ChangeKind, Membership, MembershipChange
from kumquat_core.metrics import RouterMetrics
from kumquat_core.request_ids import RequestIdGenerator
from kumquat_core.retry_budget import BudgetedRetries, DeadlineRetries
from kumquat_core.scheduling_policy import (
    KumquatPolicy,
    create_hedge_budget,
    create_scheduler,
    decides_locally,
    parse_policy,
)
from kumquat_core.settings import Options
from kumquat_core.shard_scheduler import ShardScheduler
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
from .host_status import HostStatus
from .local_admission import LocalAdmissionClient
from .membership_driver import MembershipDriver
from .model_path import ModelPath
from .owner_client import OwnerClient
from .peer_handler import GrantQueries, PeerMessageHandler
from .peer_links import PeerLinks
from .peer_server import PeerServer
from .plain_path import PlainPath
from .platform_clients import PlatformClients
from .request_observer import RequestObserver
from .shard_owners import CreateScheduler, OwnedShards
from .supervisor import Supervisor, TimerTask
from .ticket_sync import TicketSync

__all__ = ["EntryHost"]

OWNER_UPDATE_PERIOD_S = 0.1
BACKGROUND_DRAIN_TIMEOUT_S = 5.0

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
        self._gate = IntakeGate(options.limits.intake, self._clock, self._metrics)
        self._drain = Drain.from_config(options.limits, self._clock)
        self._tickets = TicketStore()
        self._held_grants = HeldGrants(options.host_id, self._identity.incarnation)
        self._clients = PlatformClients.from_config(
            options, self._metrics, self._clock, self._gate
        )
        self._create_peer_services()
        self._create_shard_services()
        self._supervisor = self._create_supervisor()

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
            TicketLog(self._clients.table, self._clients.objects, self._rng),
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
            self._clients.engines,
            self._membership,
            self._background,
            GrantQueries(host_id, self._held_grants, self._links).query,
            lambda: self._clients.directory.backend_states_by_id,
            self._observer,
            self._create_shard_scheduler(self._rng),
            EngineCommandSender(
                host_id,
                self._identity.incarnation,
                self._clients.table,
                self._clients.engines,
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
            self._clients.engines,
            lambda pool: create_scheduler(self._policy, pool, self._clock, self._rng),
        )

    def _create_model_path(self, ids: RequestIdGenerator) -> ModelPath:
        """Create the model path with the admission client of the policy."""
        is_local = decides_locally(self._policy)
        admissions = self._local_admission if is_local else self._owner_client
        retries = DeadlineRetries(self._rng) if is_local else BudgetedRetries(self._rng)
        return ModelPath(
            self._clock,
            self._clients.engines,
            TrackingAdmissionClient(admissions, self._held_grants),
            self._background,
            ids,
            self._observer,
            retries,
            create_hedge_budget(self._policy),
        )

    def _create_plain_path(self) -> PlainPath:
        self._guard = IdempotencyGuard.from_config(
            self._options,
            table=self._clients.table,
            backend=self._clients.backends,
            clock=self._clock,
            is_live=self._membership.is_live,
        )
        return PlainPath(
            self._clock,
            self._clients.backends,
            self._clients.directory,
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
            self._gate,
        )
        status = HostStatus(
            options,
            self._identity,
            self._tickets,
            self._membership,
            self._owners,
            self._clients.table,
            self._drain,
            self._metrics,
        )
        admin_api = AdminApi(
            options.admin_listen,
            status.is_ready,
            status.document,
            self._drain,
            status.render_metrics,
            self._decisions,
        )
        messages = PeerMessageHandler(
            self._owners, self._held_grants, self._membership_driver, self._ticket_sync
        )
        peer_server = PeerServer(
            options.peer_listen,
            self._identity,
            options.peer_key,
            messages.handle,
            self._metrics.add_peer_bytes,
        )
        timers = TimerTask(self._timers)
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
        self._gate.subscribe(self._timers)
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
        await self._clients.close()
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

    async def _refresh_hosts(self) -> None:
        if await self._clients.directory.refresh():
            self._membership.apply_host_list(self._clients.directory.hosts())

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
            for host in self._clients.directory.hosts()
            if host.region == self._options.region
        }
        return sorted({*live, *listed})
