"""Builds and connects the parts of a host that enforce quotas."""

from collections.abc import Mapping
from dataclasses import dataclass

from kumquat_core.timers import TimerService
from kumquatrouter.peer_links import PeerLinks

from ..cluster_state import ClusterState
from ..host_parts import HostParts
from ..owner_selection import OwnerSelection
from ..relay_settings import RelayOptions
from ..routes import RouteTable
from .client_accounts import QuotaSpec
from .quota_bound import QuotaBound
from .quota_credit import QuotaCredit
from .quota_gate import QUOTA_REPORT_S, QuotaGate
from .quota_owner import QuotaOwner

__all__ = ["ConfiguredQuotas", "HostQuotas"]


class ConfiguredQuotas:
    """The quotas of the configuration version in force."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self._routes: RouteTable | None = None
        self._quotas_by_account: Mapping[str, QuotaSpec] = {}

    def by_account(self) -> Mapping[str, QuotaSpec]:
        """Return the quotas, the same object until the version changes."""
        routes = self._cluster_state.routes
        if routes is not self._routes:
            self._routes = routes
            accounts = routes.accounts if routes is not None else None
            self._quotas_by_account = {
                name: account.quota
                for name, account in (accounts.by_name if accounts else {}).items()
                if account.quota is not None and account.quota.rate_per_s > 0
            }
        return self._quotas_by_account

    def any(self) -> bool:
        """Return whether an account has a quota."""
        return bool(self.by_account())


@dataclass
class HostQuotas:
    """The quota owner of a host and its gate for requests."""

    owner: QuotaOwner
    gate: QuotaGate

    @classmethod
    def from_parts(
        cls,
        options: RelayOptions,
        parts: HostParts,
        links: PeerLinks,
    ) -> "HostQuotas":
        """Create the parts of a host and connect them."""
        host_id, bound = options.host_id, options.quota or QuotaBound()
        quotas = ConfiguredQuotas(parts.cluster_state)

        def host_ids() -> set[str]:
            return {host_id, *parts.cluster_state.hosts_by_id}

        # Queues keep their owner when only calls about quotas are late.
        owners = OwnerSelection(
            host_id,
            parts.clock,
            parts.cluster_state.strengths_by_host_id,
            options.strength,
            parts.rules,
        )
        owner = QuotaOwner(parts.clock, quotas.by_account, host_ids, bound)
        incarnation = parts.clock.wall_ms()
        credit = QuotaCredit(incarnation, lambda: len(host_ids()), bound)
        gate = QuotaGate(
            host_id,
            parts.clock,
            links,
            owners,
            owner,
            credit,
            quotas.any,
            lambda: host_id in parts.cluster_state.hosts_by_id,
        )
        gate.on_decision = lambda verdict: parts.metrics.record_quota(verdict.value)
        gate.on_call = parts.metrics.record_quota_call
        return cls(owner, gate)

    def subscribe(self, timers: TimerService) -> None:
        """Report to the quota owner periodically."""
        timers.every(QUOTA_REPORT_S, self.gate.report, "quota_report")
