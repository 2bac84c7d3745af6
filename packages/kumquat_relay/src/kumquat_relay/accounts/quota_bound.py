"""How much more than its quotas a deployment may run, and what follows.

Load pattern: quotas are enforced by hosts that may be cut off from each other.
What the deployment allows beyond a quota is divided: one half covers requests
that hosts admit while no owner replies, the other half the credit that a
previous owner leased and requests larger than a burst.
"""

from dataclasses import dataclass

from .client_accounts import QuotaSpec

__all__ = ["CREDIT_TTL_S", "MEMBER_TTL_S", "QuotaBound"]

# A host may use leased credit for this time after it sent the request whose
# reply leased or renewed it; the owner writes it off this long after the last
# request arrived.
CREDIT_TTL_S = 3.0
# An owner counts a host for this time after a reply that the host received.
# Two and a half periods of the reports.
MEMBER_TTL_S = 1.25
DEFAULT_WINDOW_S = 8.0
# Requests that cost more than a burst get up to this part of the rate.
MAX_SAVED_RATE_RATIO = 0.5


@dataclass(frozen=True)
class QuotaBound:
    """Upper bound of what runs in any window of ``window_s``.

    It is ``(rate * window_s + burst) * (1 + overrun_ratio) + allowance``. The
    default allows nothing beyond the quota, so hosts have no reserve.
    """

    window_s: float = DEFAULT_WINDOW_S
    overrun_ratio: float = 0.0
    allowance: float = 0.0

    def margin(self, quota: QuotaSpec) -> float:
        """Return half of what may run beyond a quota in each window."""
        entitled = quota.rate_per_s * self.window_s + quota.burst
        return (self.overrun_ratio * entitled + self.allowance) / 2

    def capacity(self, quota: QuotaSpec) -> float:
        """Return the credit that may be saved up: the burst and the margin.

        Requests of an account come in peaks. What the deployment tolerates in
        a window lets them pass instead of refusing them.
        """
        return quota.burst + self.margin(quota)

    def reserve(self, quota: QuotaSpec, host_count: int) -> float:
        """Return what each host may run without an owner in each window."""
        return self.margin(quota) / max(1, host_count)

    def max_cost(self, quota: QuotaSpec) -> float:
        """Return the largest cost of a request for which credit is saved."""
        saved = MAX_SAVED_RATE_RATIO * quota.rate_per_s * self.window_s
        return self.capacity(quota) + saved
