"""Builds and connects the parts of a host that quarantine prompt parts."""

from dataclasses import dataclass

from kumquatrouter.peer_links import PeerLinks

from .crash_observer import CrashObserver
from .host_parts import HostParts
from .owner_selection import OwnerSelection
from .prompt_quarantine import PromptQuarantine
from .relay_metrics import RelayMetrics

__all__ = ["HostQuarantine"]


@dataclass
class HostQuarantine:
    """The verdicts on prompt parts and the reports of crashes."""

    prompts: PromptQuarantine
    observer: CrashObserver

    @classmethod
    def from_parts(
        cls,
        host_id: str,
        parts: HostParts,
        links: PeerLinks,
        owners: OwnerSelection,
    ) -> "HostQuarantine":
        """Create the parts of a host and connect them."""
        prompts = PromptQuarantine(
            host_id,
            parts.clock,
            links,
            owners,
            enabled=parts.rules.crash_quarantine,
        )
        observer = CrashObserver(
            host_id,
            parts.clock,
            parts.pool,
            parts.cluster_state.registry,
            links,
            owners,
            prompts,
        )
        return cls(prompts, observer)

    def update_metrics(self, metrics: RelayMetrics) -> None:
        """Set the numbers of quarantined and suspect parts."""
        quarantined, suspect = self.prompts.counts()
        metrics.quarantined_parts.set(quarantined)
        metrics.suspect_parts.set(suspect)
