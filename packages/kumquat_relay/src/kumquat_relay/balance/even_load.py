"""Even load over plain servers: this host's part, from counts to choices.

Load pattern: a host of a large fleet sends one or two requests a second to
servers that the whole fleet loads. It reports its counts to the owner of the
service with the period of all reports, and follows the shares in the reply.
Nothing is sent per request.

Without a reply the shares become too old and the host decides by its own view.
The owner is that of the limits, whose loss the reports of ``admission`` show.
"""

import logging
from collections.abc import Callable, Sequence

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.peer_messages import LoadReport, LoadShares
from kumquat_core.result_codes import ResultCode, RouterError
from kumquatrouter.peer_links import PeerLinks

from ..cluster_state import ClusterState
from ..engine_registry import EngineEntry
from ..host_parts import HostParts
from ..owner_selection import OwnerSelection
from ..relay_rules import ALL_RULES, RelayRules
from ..relay_settings import RelayOptions
from ..report_period import idle_report_periods
from .fleet_size import EvenLoadMode, needs_common_view
from .known_shares import KnownShares
from .load_owner import LoadOwner
from .overload_gate import OverloadGate
from .overload_owner import OverloadOwner
from .send_counts import SendCounts, SendOutcome

__all__ = ["EvenLoad"]

# A hundred times the latency between failure domains; the next report follows
# soon, so a lost one is not repeated.
REPORT_TIMEOUT_S = 0.3
# Reports to an owner of an earlier build are not understood; it is replaced
# within a rolling restart.
OLD_OWNER_RETRY_S = 10.0

logger = logging.getLogger(__name__)


class EvenLoad:
    """Counts sends, reports them, and chooses servers by the shares.

    ``on_choice`` is called with whether shares decided a choice, ``on_report``
    with the outcome of each report.
    """

    def __init__(
        self,
        host_id: str,
        clock: Clock,
        cluster_state: ClusterState,
        links: PeerLinks,
        owners: OwnerSelection,
        rules: RelayRules = ALL_RULES,
        mode: EvenLoadMode = EvenLoadMode.AUTO,
        *,
        overload_control: bool = True,
    ) -> None:
        self._host_id = host_id
        self._clock = clock
        self._cluster_state = cluster_state
        self._links = links
        self._owners = owners
        self._mode = mode
        self._enabled = rules.even_load and rules.plain_choice
        self._counts = SendCounts()
        self._shares = KnownShares(host_id, clock)
        self.owner = LoadOwner(clock, cluster_state)
        limits_sends = self._enabled and rules.admitted_share and overload_control
        self.overload_owner = OverloadOwner(clock) if limits_sends else None
        self.overload = OverloadGate(host_id, clock, enabled=limits_sends)
        self._ids_by_service: dict[str, tuple[str, ...]] = {}
        self._ids_revision = -1
        self._periods_since_report = 0
        self._old_until_s_by_owner: dict[str, float] = {}
        self._following: set[str] = set()
        self.on_choice: Callable[[bool], None] = lambda by_shares: None
        self.on_report: Callable[[str], None] = lambda outcome: None

    @classmethod
    def from_parts(
        cls,
        options: RelayOptions,
        parts: HostParts,
        links: PeerLinks,
        owners: OwnerSelection,
    ) -> "EvenLoad":
        """Create the even load of a host with its metrics."""
        even_load = cls(
            options.host_id,
            parts.clock,
            parts.cluster_state,
            links,
            owners,
            parts.rules,
            options.even_load,
            overload_control=options.overload_control,
        )
        even_load.on_choice = parts.metrics.record_plain_choice
        even_load.on_report = parts.metrics.record_load_report
        even_load.overload.on_reject = parts.metrics.overload_rejected.inc
        return even_load

    def pick(self, service: str, entries: Sequence[EngineEntry]) -> EngineEntry | None:
        """Return one of the entries by its share.

        None if this host is to decide by its own view.
        """
        if not self._is_effective(service):
            return None
        entry = self._shares.pick(service, entries, self._counts.open_requests)
        self.on_choice(entry is not None)
        return entry

    def record_send(self, engine_id: str) -> float:
        """Record that a request is sent; return the time of this."""
        now_s = self._clock.monotonic()
        self._counts.record_send(engine_id, now_s)
        return now_s

    def record_end(
        self,
        engine_id: str,
        outcome: SendOutcome,
        latency_ms: float | None,
        sent_s: float,
    ) -> None:
        """Record how a request ended that was sent at ``sent_s``."""
        now_s = self._clock.monotonic()
        self._counts.record_end(engine_id, outcome, latency_ms, sent_s, now_s)
        self._shares.record_end(engine_id, outcome)

    def record_unreachable(self, engine_id: str) -> None:
        """Record that a server could not be connected to."""
        self._counts.record_unreachable(engine_id)
        self._shares.record_end(engine_id, SendOutcome.FAILED)

    def remove(self, engine_id: str) -> None:
        """Discard what is known of a server that was removed."""
        self._counts.remove(engine_id)
        self._shares.remove(engine_id)
        self.owner.remove_engine(engine_id)

    def apply_report(self, message: LoadReport, host_id: str) -> LoadShares:
        """Add a host's report as the owner and return the reply to it."""
        reply = self.owner.apply_report(message, host_id)
        routes = self._cluster_state.routes
        if self.overload_owner is None or routes is None:
            return reply
        if message.service not in routes.services_by_name:
            return reply
        registry = self._cluster_state.registry
        slots_by_id = {
            engine_id: entry.slots
            for engine_id in self._engine_ids(message.service)
            if (entry := registry.get(engine_id)) is not None
        }
        return self.overload_owner.apply_report(message, host_id, slots_by_id, reply)

    async def report(self) -> None:
        """Report to the owner of each service concerned if it is due."""
        routes = self._cluster_state.routes
        if routes is None or not self._enabled:
            return
        plain = set(routes.services_by_name) - set(routes.model_services)
        services = sorted(name for name in plain if self._is_reported(name))
        reported = {key for name in services for key in self._engine_ids(name)}
        self._counts.discard_except(reported)
        if not services or not self._is_report_due(services):
            return
        for service in services:
            await self._report_service(service)

    def _is_report_due(self, services: list[str]) -> bool:
        """Return whether to report now; called once in each period."""
        self._periods_since_report += 1
        period = idle_report_periods(len(self._cluster_state.hosts_by_id))
        is_active = any(
            self._counts.has_news(self._engine_ids(service))
            or self.overload.has_news(service)
            for service in services
        )
        if not is_active and self._periods_since_report < period:
            return False
        self._periods_since_report = 0
        return True

    async def _report_service(self, service: str) -> None:
        now_s = self._clock.monotonic()
        owner = self._owners.owner(self._cluster_state.owner_group(service))
        if now_s >= self._old_until_s_by_owner.get(owner, now_s):
            self._old_until_s_by_owner.pop(owner, None)
            servers = self._counts.take(self._engine_ids(service), now_s)
            message = LoadReport(service, servers, *self.overload.take(service))
            if owner == self._host_id:
                self._apply_reply(self.apply_report(message, owner))
            else:
                await self._send_report(owner, message)
        self._log_following(service)

    async def _send_report(self, owner: str, message: LoadReport) -> None:
        """Send a report and store the shares of the reply."""
        try:
            reply = await self._links.call(owner, message, REPORT_TIMEOUT_S)
        except RouterError as error:
            if error.code is ResultCode.PEER_PROTOCOL:
                until_s = self._clock.monotonic() + OLD_OWNER_RETRY_S
                self._old_until_s_by_owner[owner] = until_s
            self.on_report("failed")
            log_event(
                logger,
                "load_report_failed",
                level=logging.DEBUG,
                peer=owner,
                service=message.service,
                code=error.code.value,
                detail=error.detail,
            )
            return
        if isinstance(reply, LoadShares) and reply.service == message.service:
            self._apply_reply(reply)
            self.on_report("shares" if reply.shares else "learning")

    def _apply_reply(self, reply: LoadShares) -> None:
        self._shares.set(reply)
        self.overload.set(reply)

    def _log_following(self, service: str) -> None:
        """Log when this host begins or ceases to follow shares."""
        follows = self._shares.trust(service) > 0
        if follows == (service in self._following):
            return
        if follows:
            self._following.add(service)
        else:
            self._following.discard(service)
        event = "load_shares_followed" if follows else "load_shares_outdated"
        log_event(logger, event, service=service)

    def _is_effective(self, service: str) -> bool:
        """Return whether hosts of this fleet follow shares for a service."""
        hosts = len(self._cluster_state.hosts_by_id)
        return self._enabled and needs_common_view(
            hosts, len(self._engine_ids(service)), self._mode
        )

    def _is_reported(self, service: str) -> bool:
        """Return whether hosts of this fleet report on a service.

        The last server of a service leaves no choice, but may be overloaded.
        """
        if self._is_effective(service):
            return True
        hosts, servers = len(self._cluster_state.hosts_by_id), self._engine_ids(service)
        is_last = len(servers) == 1 and self.overload.has_objective(service)
        return self._enabled and is_last and needs_common_view(hosts, 2, self._mode)

    def _engine_ids(self, service: str) -> tuple[str, ...]:
        """Return the ids of the usable servers of a service.

        The registry may hold thousands of engines of other services.
        """
        registry = self._cluster_state.registry
        if self._ids_revision != registry.revision:
            self._ids_revision = registry.revision
            self._ids_by_service.clear()
        ids = self._ids_by_service.get(service)
        if ids is None:
            ids = tuple(entry.id for entry in registry.usable(service))
            self._ids_by_service[service] = ids
        return ids
