"""Bounds the waits of requests while the quota owner changes.

Load pattern: the machine of the owner is lost at a peak. Until the lost owner
no longer counts a host, no other may lease that host's share, and the bucket
of the next owner begins empty. An account within its quota has its credit
within two seconds, and a caller that retries once may have no credit then
either, so its requests wait. Accounts that were over their quota before, and
what exceeds the credit of that time, are refused without waiting.
"""

from .client_accounts import QuotaSpec
from .quota_bound import MEMBER_TTL_S, QuotaBound

__all__ = ["MAX_CREDIT_WAIT_S", "SHORT_WAIT_S", "OwnerRecovery"]

# A request waits at most this long for an owner. Calls take milliseconds, and
# the latency objective of short requests is a few hundred of them.
MAX_CREDIT_WAIT_S = 0.15
# Requests wait for credit that is available within this time. Without that,
# accounts just below their quota have a refusal from time to time.
SHORT_WAIT_S = 0.05
# While the owner changes, until the next one has shares and has leased from
# them for as long again.
MAX_OWNER_WAIT_S = 2 * MEMBER_TTL_S
# A request does not wait on if it has less time than this until its deadline.
MIN_TIME_LEFT_S = 0.3
# Time after the last sign of the change in which requests wait so long.
RECOVERY_S = 2.0
MIN_EXTENSION_S = 0.1
# Time between two calls for an account whose bucket is starting, by the number
# of hosts. All of them together make about a thousand calls a second, which is
# little more than their reports.
MIN_PAUSE_S = 0.02
PAUSE_PER_HOST_S = 0.001
# More requests than this do not wait at one host.
MAX_WAITING = 1000


class OwnerRecovery:
    """Whether the owner changes, and which requests wait for the next one."""

    def __init__(self, bound: QuotaBound) -> None:
        self._bound = bound
        self.until_s = float("-inf")

    def extend(self, now_s: float) -> bool:
        """Record a sign that the owner changes.

        Returns False if another one has just been recorded.
        """
        is_recent = now_s + RECOVERY_S - self.until_s < MIN_EXTENSION_S
        if not is_recent:
            self.until_s = now_s + RECOVERY_S
        return not is_recent

    def is_active(self, now_s: float) -> bool:
        """Return whether the owner changes."""
        return now_s < self.until_s

    def max_wait_s(self, waited_s: float, left_s: float) -> float:
        """Return how long a request may wait that has ``left_s`` now."""
        until_deadline_s = waited_s + left_s - MIN_TIME_LEFT_S
        return max(MAX_CREDIT_WAIT_S, min(MAX_OWNER_WAIT_S, until_deadline_s))

    def pause_s(self, hosts: int) -> float:
        """Return the time between two calls for a bucket that is starting."""
        return max(MIN_PAUSE_S, PAUSE_PER_HOST_S * hosts)

    def has_room(self, quota: QuotaSpec, waiting: float, requests: int) -> bool:
        """Return whether one more request may begin to wait.

        ``waiting`` is the cost of the waiting requests of its account, with
        this one, ``requests`` the number of those of all accounts.
        """
        credit = quota.rate_per_s * MAX_OWNER_WAIT_S + self._bound.capacity(quota)
        return waiting <= credit and requests < MAX_WAITING
