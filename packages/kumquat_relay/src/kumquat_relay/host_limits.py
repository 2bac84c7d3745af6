"""Builds the parts of a host that share limits and load with other hosts."""

from dataclasses import dataclass

from kumquat_core.timers import TimerService
from kumquatrouter.peer_links import PeerLinks

from .accounts.host_quotas import HostQuotas
from .balance.even_load import EvenLoad
from .host_parts import HostParts
from .known_limits import KnownLimits
from .limit_owner import LimitOwner
from .owner_selection import OwnerSelection
from .relay_metrics import RelayMetrics
from .relay_settings import RelayOptions
from .report_period import REPORT_S
from .send_permits import SendPermits

__all__ = ["HostLimits"]


@dataclass
class HostLimits:
    """The limits that a host knows, those that it owns, and its permits.

    ``quotas`` are the parts that enforce the quotas of client accounts,
    ``even_load`` those that share the load of plain servers.
    """

    known: KnownLimits
    owner: LimitOwner
    permits: SendPermits
    quotas: HostQuotas
    even_load: EvenLoad

    @classmethod
    def from_parts(
        cls,
        options: RelayOptions,
        parts: HostParts,
        links: PeerLinks,
        owners: OwnerSelection,
    ) -> "HostLimits":
        """Create the parts of a host and connect them."""
        host_id = options.host_id
        known = KnownLimits(
            parts.clock, parts.cluster_state, enabled=parts.rules.server_limits
        )
        owner = LimitOwner(parts.clock, parts.cluster_state)
        permits = SendPermits(host_id, parts.clock, known, links, owners, owner)
        known.notify_owner = permits.notify_owner
        permits.on_outcome = parts.metrics.record_permit
        quotas = HostQuotas.from_parts(options, parts, links)
        even_load = EvenLoad.from_parts(options, parts, links, owners)
        return cls(known, owner, permits, quotas, even_load)

    def subscribe(self, timers: TimerService) -> None:
        """Report periodically to the owners of quotas and of load."""
        self.quotas.subscribe(timers)
        timers.every(REPORT_S, self.even_load.report, "load_report")

    def update_metrics(self, metrics: RelayMetrics) -> None:
        """Set the metrics of limits and quotas to their current values."""
        metrics.limited_servers.set(self.known.count())
        metrics.quota_share.set(self.quotas.owner.current_share())

    def remove_engine(self, engine_id: str) -> None:
        """Discard the limit of a server that was removed or restarted."""
        self.known.remove(engine_id)
        self.permits.remove(engine_id)
        self.owner.remove_engine(engine_id)
        self.even_load.owner.remove_engine(engine_id)
