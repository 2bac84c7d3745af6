"""Builds and connects the parts of a host that keep servers' limits."""

from dataclasses import dataclass

from kumquatrouter.peer_links import PeerLinks

from .host_parts import HostParts
from .known_limits import KnownLimits
from .limit_owner import LimitOwner
from .owner_selection import OwnerSelection
from .send_permits import SendPermits

__all__ = ["HostLimits"]


@dataclass
class HostLimits:
    """The limits that a host knows, those that it owns, and its permits."""

    known: KnownLimits
    owner: LimitOwner
    permits: SendPermits

    @classmethod
    def from_parts(
        cls,
        host_id: str,
        parts: HostParts,
        links: PeerLinks,
        owners: OwnerSelection,
    ) -> "HostLimits":
        """Create the parts of a host and connect them."""
        known = KnownLimits(
            parts.clock, parts.cluster_state, enabled=parts.rules.server_limits
        )
        owner = LimitOwner(parts.clock, parts.cluster_state)
        permits = SendPermits(host_id, parts.clock, known, links, owners, owner)
        known.notify_owner = permits.notify_owner
        permits.on_outcome = parts.metrics.record_permit
        return cls(known, owner, permits)

    def remove_engine(self, engine_id: str) -> None:
        """Discard the limit of a server that was removed or restarted."""
        self.known.remove(engine_id)
        self.permits.remove(engine_id)
        self.owner.remove_engine(engine_id)
