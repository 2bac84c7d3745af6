"""Weighted fair sharing of a shard between tenants.

Each tenant is charged for the memory and time it is granted. Charges decay
exponentially, so that only recent usage counts. A tenant that used more than
its weighted share of the total usage of all waiting tenants is served after
the others. It still receives all capacity that the others leave, so idle
capacity can be borrowed without limit and no tenant is starved.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["FairShare"]

USAGE_HALF_LIFE_S = 10.0

# A tenant's usage may exceed its exact share by this factor before the order
# changes. Otherwise two equal tenants would swap positions after every grant.
SHARE_TOLERANCE = 1.25


@dataclass
class _Usage:
    cost: float
    updated_s: float


class FairShare:
    """Recent usage of a shard by tenant."""

    def __init__(self) -> None:
        self._usage_by_tenant: dict[str, _Usage] = {}
        self._weights_by_tenant: Mapping[str, float] = {}

    def update_weights(self, weights_by_tenant: Mapping[str, float]) -> None:
        """Replace the weights; an unknown tenant has weight 1."""
        self._weights_by_tenant = weights_by_tenant

    def charge(self, tenant: str, cost: float, now_s: float) -> None:
        """Add the cost of a grant, in pieces times seconds, to a tenant."""
        self._usage_by_tenant[tenant] = _Usage(
            self._decayed_cost(tenant, now_s) + cost, now_s
        )

    def over_share(self, waiting_tenants: Iterable[str], now_s: float) -> set[str]:
        """Return the waiting tenants that used more than their share."""
        costs_by_tenant = {
            tenant: self._decayed_cost(tenant, now_s) for tenant in waiting_tenants
        }
        if len(costs_by_tenant) < 2:
            return set()
        weight_sum = sum(self._weight(tenant) for tenant in costs_by_tenant)
        fair_cost = sum(costs_by_tenant.values()) / weight_sum
        return {
            tenant
            for tenant, cost in costs_by_tenant.items()
            if cost > SHARE_TOLERANCE * fair_cost * self._weight(tenant)
        }

    def _weight(self, tenant: str) -> float:
        return self._weights_by_tenant.get(tenant, 1.0)

    def _decayed_cost(self, tenant: str, now_s: float) -> float:
        """Return a tenant's charges, decayed to ``now_s``."""
        usage = self._usage_by_tenant.get(tenant)
        if usage is None:
            return 0.0
        decay: float = 0.5 ** ((now_s - usage.updated_s) / USAGE_HALF_LIFE_S)
        return usage.cost * decay
