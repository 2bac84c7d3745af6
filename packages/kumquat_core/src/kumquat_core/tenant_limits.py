"""Limits of a tenant: concurrent requests and requests per second.

A shard enforces the tenant's limits divided by the number of shards of the
pool. A request counts from its arrival to its release, including its time in
the queue.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .configuration import Tenant

__all__ = ["TenantLimits"]

# Requests per second are averaged over this time, so that a short burst within
# the average rate is not refused.
BURST_S = 2.0
MIN_RETRY_AFTER_S = 0.1


@dataclass
class _TenantState:
    """Token bucket of a tenant's request rate, and its current requests."""

    tokens: float
    at_s: float
    request_ids: set[str] = field(default_factory=set)


class TenantLimits:
    """Enforces the limits of each tenant in one shard."""

    def __init__(self) -> None:
        self._tenants_by_name: Mapping[str, Tenant] = {}
        self._shard_count = 1
        self._states_by_tenant: dict[str, _TenantState] = {}

    def update(
        self, tenants_by_name: Mapping[str, Tenant], shard_count: int = 1
    ) -> None:
        """Replace the configured limits; an unknown tenant has none."""
        self._tenants_by_name = tenants_by_name
        self._shard_count = max(1, shard_count)

    def admit_request(
        self, tenant: str, request_id: str, attempt: int, now_s: float
    ) -> float | None:
        """Admit a request, or return the seconds to wait if it is refused.

        Only the first attempt of a request counts against the rate.
        """
        limits = self._tenants_by_name.get(tenant)
        if limits is None:
            return None
        rate = limits.requests_per_s / self._shard_count
        burst = max(1.0, rate * BURST_S)
        state = self._states_by_tenant.setdefault(tenant, _TenantState(burst, now_s))
        state.tokens = min(burst, state.tokens + (now_s - state.at_s) * rate)
        state.at_s = now_s
        if len(state.request_ids) >= max(1, limits.max_concurrent // self._shard_count):
            return MIN_RETRY_AFTER_S
        if attempt <= 1:
            if state.tokens < 1.0:
                return max(MIN_RETRY_AFTER_S, (1.0 - state.tokens) / rate)
            state.tokens -= 1.0
        state.request_ids.add(request_id)
        return None

    def remove_request(self, tenant: str, request_id: str) -> None:
        """Remove a request; a repeated call has no effect."""
        state = self._states_by_tenant.get(tenant)
        if state is not None:
            state.request_ids.discard(request_id)

    def concurrent_requests(self, tenant: str) -> int:
        """Return the number of a tenant's admitted requests."""
        state = self._states_by_tenant.get(tenant)
        return 0 if state is None else len(state.request_ids)
