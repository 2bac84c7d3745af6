"""Divides the requests of all failure domains among the servers.

The load of each server follows its weight whatever domain the requests come
from. Within that, as many requests as possible stay in their own domain, so
the preference for it never loads one server more than another.
"""

from collections.abc import Mapping

__all__ = ["plan_shares"]

# Part of the requests that is planned by domain; the rest follows the weights
# only. Demand that has just moved to a domain exceeds what the plan assumes.
LOCALITY = 0.8


def plan_shares(
    weights_by_id: Mapping[str, float],
    domains_by_id: Mapping[str, str],
    demand_by_domain: Mapping[str, float],
) -> dict[str, dict[str, float]]:
    """Return the shares of the servers for each domain with demand.

    The weights sum to 1, and so do the shares of a domain.
    """
    total = sum(demand_by_domain.values())
    left_by_id = {key: weight * total for key, weight in weights_by_id.items()}
    local_by_domain: dict[str, dict[str, float]] = {}
    for domain, demand in demand_by_domain.items():
        room = {k: v for k, v in left_by_id.items() if domains_by_id.get(k) == domain}
        part = min(1.0, demand / sum(room.values())) if any(room.values()) else 0.0
        local = {key: value * part for key, value in room.items()}
        local_by_domain[domain] = local
        for key, value in local.items():
            left_by_id[key] -= value
    left = sum(left_by_id.values())
    shares_by_domain: dict[str, dict[str, float]] = {}
    for domain, local in local_by_domain.items():
        demand = demand_by_domain[domain]
        if demand <= 0:
            continue
        rest = max(0.0, demand - sum(local.values()))
        part = rest / left if left > 0 else 0.0
        shares_by_domain[domain] = {
            key: LOCALITY * (local.get(key, 0.0) + max(0.0, value) * part) / demand
            + (1 - LOCALITY) * weights_by_id[key]
            for key, value in left_by_id.items()
        }
    return shares_by_domain
