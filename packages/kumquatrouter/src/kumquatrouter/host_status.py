"""The readiness, the status document and the metrics of an entry host."""

from dataclasses import asdict
from typing import Any

from kumquat_core.frames import PeerIdentity
from kumquat_core.membership import Membership
from kumquat_core.metrics import RouterMetrics
from kumquat_core.settings import Options
from kumquat_core.tickets import TicketStore

from .drain import Drain
from .metered_clients import MeteredTableClient
from .shard_owners import OwnedShards
from .status_report import engine_documents, owners_by_shard, resident_bytes

__all__ = ["HostStatus"]


class HostStatus:
    """What the admin interface tells about a host."""

    def __init__(
        self,
        options: Options,
        identity: PeerIdentity,
        tickets: TicketStore,
        membership: Membership,
        owners: OwnedShards,
        table_client: MeteredTableClient,
        drain: Drain,
        metrics: RouterMetrics,
    ) -> None:
        self._options = options
        self._identity = identity
        self._tickets = tickets
        self._membership = membership
        self._owners = owners
        self._table_client = table_client
        self._drain = drain
        self._metrics = metrics

    def is_ready(self) -> bool:
        """Return whether the host can serve, unless it drains."""
        return self._tickets.position > 0 and not self._membership.superseded

    def document(self) -> dict[str, Any]:
        """Return the status document."""
        configuration = self._tickets.configuration
        live_hosts = self._membership.live_host_ids()
        return {
            "host_id": self._identity.host_id,
            "incarnation": self._identity.incarnation,
            "region": self._options.region,
            "failure_domain": self._options.failure_domain,
            "ready": self.is_ready() and not self._drain.draining,
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

    def render_metrics(self) -> bytes:
        """Return all metrics after setting the gauges to the current state."""
        self._metrics.set_tickets(self._tickets.position, self._table_client.scan_age_s)
        self._metrics.set_members(self._membership.counts_by_state())
        self._metrics.set_ready(self.is_ready() and not self._drain.draining)
        return self._metrics.render()
