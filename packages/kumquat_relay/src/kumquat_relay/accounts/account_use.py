"""The use of one client account at a host.

Load pattern: hundreds of accounts at once, one of them with thousands of
requests a second when its callers ignore refusals.
"""

from dataclasses import dataclass, field

from .recent_sum import RecentSum

__all__ = ["DEMAND_WINDOW_S", "AccountUse"]

DEMAND_WINDOW_S = 2.0


@dataclass
class AccountUse:
    """The use of one account at this host; times are monotonic seconds.

    Requests that cost at least ``refused_cost`` are refused until
    ``refused_until_s``; until ``used_up_until_s`` all that waited in vain are.
    ``next_retry_s`` is the last time that a refused caller was told. Requests
    do not ask an owner that has just begun again before ``next_call_s``.
    """

    reserve_used: RecentSum
    demand: RecentSum = field(default_factory=lambda: RecentSum(DEMAND_WINDOW_S))
    arrivals: RecentSum = field(default_factory=lambda: RecentSum(DEMAND_WINDOW_S))
    admitted: RecentSum = field(default_factory=lambda: RecentSum(DEMAND_WINDOW_S))
    waiting_costs: list[float] = field(default_factory=list)
    last_cost: float = 0.0
    returned: float = 0.0
    refused_cost: float = 0.0
    refused_until_s: float = float("-inf")
    used_up_until_s: float = float("-inf")
    next_retry_s: float = float("-inf")
    next_call_s: float = float("-inf")
