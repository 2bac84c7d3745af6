"""Fair share of a shard between tenants.

Each tenant is charged for the memory and time it is granted; the charge
decays, so that only recent use counts. A tenant that used more than its
weighted share of what the waiting tenants used together goes behind the
others. It still receives everything the others leave, so idle capacity is
borrowed freely and no tenant waits for ever.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["FairShare"]

HALF_LIFE_S = 10.0

# Use may exceed the exact share by this factor before order changes;
# otherwise two equal tenants would swap places after every grant.
TOLERANCE = 1.25


@dataclass
class _Use:
    cost: float
    at_s: float


class FairShare:
    """Recent use of a shard by tenant."""

    def __init__(self) -> None:
        self._uses_by_tenant: dict[str, _Use] = {}
        self._weights_by_tenant: Mapping[str, float] = {}

    def update_weights(self, weights_by_tenant: Mapping[str, float]) -> None:
        """Take over the weights in force; an unknown tenant has weight 1."""
        self._weights_by_tenant = weights_by_tenant

    def charge(self, tenant: str, cost: float, now_s: float) -> None:
        """Add the cost of a grant, in pieces times seconds."""
        self._uses_by_tenant[tenant] = _Use(self._cost(tenant, now_s) + cost, now_s)

    def over_share(self, waiting_tenants: Iterable[str], now_s: float) -> set[str]:
        """Return the waiting tenants that used more than their share."""
        costs_by_tenant = {
            tenant: self._cost(tenant, now_s) for tenant in waiting_tenants
        }
        if len(costs_by_tenant) < 2:
            return set()
        weight_sum = sum(self._weight(tenant) for tenant in costs_by_tenant)
        fair_cost = sum(costs_by_tenant.values()) / weight_sum
        return {
            tenant
            for tenant, cost in costs_by_tenant.items()
            if cost > TOLERANCE * fair_cost * self._weight(tenant)
        }

    def _weight(self, tenant: str) -> float:
        return self._weights_by_tenant.get(tenant, 1.0)

    def _cost(self, tenant: str, now_s: float) -> float:
        use = self._uses_by_tenant.get(tenant)
        if use is None:
            return 0.0
        decay: float = 0.5 ** ((now_s - use.at_s) / HALF_LIFE_S)
        return use.cost * decay
