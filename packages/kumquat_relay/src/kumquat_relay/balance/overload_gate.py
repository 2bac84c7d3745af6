"""The host's side of the overload control: rejects requests without a send.

Load pattern: each of 88 hosts receives a few requests per second for servers
that are too few. The owner of the service states which requests the hosts may
send. A host rejects the others one by one, evenly spread, and begins at a
point given by its id, so that hosts do not reject at the same moments.

Rejected callers retry once, and a retry is late for most objectives. Of one
priority, requests that can still be on time are therefore sent before retries.
The times of the retries are spread.

Without recent news from the owner everything is sent.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

from kumquat_core.clock import Clock
from kumquat_core.load_messages import LoadShares, RankDemand, is_retry
from kumquat_core.log_events import log_event

from ..caller_request import CallerRequest
from ..request_age import RequestAge
from ..retry_schedule import MAX_DEADLINE_SHARE

__all__ = ["OverloadGate"]

# Idle hosts of large fleets report every 2 s, so news is this old in normal
# operation.
FRESH_S = 2.5
SHARE_UNIT = 10_000
# Earliest retry, relative to the latest one. Earlier ones could not be told
# from first attempts by their deadline, see ``RequestAge``.
MIN_RETRY_SHARE = 0.6
# A request with less of its objective left is probably answered too late.
# Responses take more than half of the objective in an overload.
LATE_OBJECTIVE_SHARE = 0.6
# Fractional part of the golden ratio; its multiples are spread evenly.
STEP = 0.6180339887498949
# Larger priorities count as this one, which bounds the ranks of a report.
MAX_PRIORITY = 31

logger = logging.getLogger(__name__)


@dataclass
class _Demand:
    requests: int = 0
    rejected: int = 0


@dataclass
class _Service:
    """What this host received for a service, and what it may send."""

    phase: float
    least_phase: float
    news_s: float = float("-inf")
    cut_rank: int = 0
    share: float = 1.0
    least: float = 0.0
    objective_ms: int = 0
    has_objective: bool = False
    is_rejecting: bool = False
    demand_by_rank: dict[int, _Demand] = field(default_factory=dict)


class OverloadGate:
    """Admits requests by the share that the owner of their service states.

    ``on_reject`` is called for each request that is rejected.
    """

    def __init__(self, host_id: str, clock: Clock, *, enabled: bool = True) -> None:
        self._clock = clock
        self._enabled = enabled
        self._begin = xxhash.xxh32_intdigest(f"{host_id}/overload".encode()) / 2**32
        self._retry_point = self._begin
        self._ages = RequestAge()
        self._services_by_name: dict[str, _Service] = {}
        self.on_reject: Callable[[], None] = lambda: None

    def admits(self, request: CallerRequest) -> bool:
        """Count a request; return whether it may be sent."""
        if not self._enabled:
            return True
        service = self._services_by_name.setdefault(
            request.service, _Service(self._begin, self._begin)
        )
        objective_ms = request.route.objective_ms
        if objective_ms <= 0:
            service.demand_by_rank.setdefault(0, _Demand()).requests += 1
            return True
        service.has_objective = True
        service.objective_ms = min(service.objective_ms or objective_ms, objective_ms)
        left_ms = self._ages.objective_left_ms(request)
        is_late = left_ms < LATE_OBJECTIVE_SHARE * objective_ms
        rank = 1 + 2 * min(request.priority, MAX_PRIORITY) + is_late
        demand = service.demand_by_rank.setdefault(rank, _Demand())
        demand.requests += 1
        if self._may_send(service, rank):
            return True
        demand.rejected += 1
        self.on_reject()
        return False

    def _may_send(self, service: _Service, rank: int) -> bool:
        if service.share >= 1.0 or not self._is_fresh(service):
            return True
        if rank < service.cut_rank:
            return True
        if rank == service.cut_rank:
            service.phase += service.share
            sent, service.phase = divmod(service.phase, 1.0)
        elif is_retry(rank):
            return False
        else:
            service.least_phase += service.least
            sent, service.least_phase = divmod(service.least_phase, 1.0)
        return sent >= 1.0

    def retry_after_s(self, service_name: str, left_s: float) -> float | None:
        """Return when the caller of a rejected request should retry.

        ``left_s`` is the time until its deadline. None without news from the
        owner of the service, and for a service without objectives.
        """
        service = self._services_by_name.get(service_name)
        if service is None or not service.has_objective:
            return None
        if not self._is_fresh(service):
            return None
        self._retry_point = (self._retry_point + STEP) % 1.0
        part = MIN_RETRY_SHARE + (1.0 - MIN_RETRY_SHARE) * self._retry_point
        return max(0.0, left_s) * MAX_DEADLINE_SHARE * part

    def set(self, message: LoadShares) -> None:
        """Store what the owner of a service states."""
        service = self._services_by_name.get(message.service)
        if service is None:
            return
        service.news_s = self._clock.monotonic()
        service.cut_rank = message.cut_rank
        service.share = min(1.0, message.admitted / SHARE_UNIT)
        service.least = min(1.0, message.least / SHARE_UNIT)
        is_rejecting = service.share < 1.0
        if is_rejecting != service.is_rejecting:
            service.is_rejecting = is_rejecting
            event = "overload_rejecting" if is_rejecting else "overload_admitting"
            log_event(logger, event, service=message.service, share=service.share)

    def has_news(self, service_name: str) -> bool:
        """Tell whether there is anything to report."""
        service = self._services_by_name.get(service_name)
        return service is not None and bool(service.demand_by_rank)

    def has_objective(self, service_name: str) -> bool:
        """Tell whether any request of a service had an objective."""
        service = self._services_by_name.get(service_name)
        return service is not None and service.has_objective

    def take(self, service_name: str) -> tuple[tuple[RankDemand, ...], int]:
        """Return the demand and the objective, and begin new counts."""
        service = self._services_by_name.get(service_name)
        if service is None:
            return (), 0
        demand = tuple(
            RankDemand(rank, item.requests, item.rejected)
            for rank, item in sorted(service.demand_by_rank.items())
        )
        objective_ms = service.objective_ms
        service.demand_by_rank, service.objective_ms = {}, 0
        return demand, objective_ms

    def _is_fresh(self, service: _Service) -> bool:
        return self._clock.monotonic() - service.news_s <= FRESH_S
