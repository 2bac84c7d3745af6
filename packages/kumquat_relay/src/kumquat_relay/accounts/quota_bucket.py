"""Accounts for the credit of one client account at its quota owner.

Load pattern: hundreds of hosts use one account at once, some of them with four
times its quota. The credit that is leased to hosts counts until they report
that they have used it, so the sum of balance and leases never exceeds the
capacity, whenever hosts use their leases.

A host that is refused gets a turn: its credit is due at a stated time, and
what is granted before leaves enough for it. So hosts that return in time are
served one after the other, also those whose requests are large.
"""

from dataclasses import dataclass

from kumquat_core.quota_messages import QuotaLease, QuotaNeed

from .client_accounts import QuotaSpec
from .quota_bound import MAX_SAVED_RATE_RATIO, QuotaBound
from .quota_starting import StartingQueue

__all__ = ["QuotaBucket"]

# Time for which the largest cost determines the capacity.
LARGEST_TTL_S = 10.0
# A bucket begins empty. While it is starting, its credit is for requests that
# wait. It begins again when its share grows by this factor at once, as when
# hosts come over from a previous owner one after the other.
STARTING_GROWTH = 1.25
# Credit for later requests is leased up to this part of the capacity and of
# the balance; the rest is left for hosts whose requests wait.
MAX_LEASED_RATIO = 0.5
# A turn that its host does not use ends this long after it was due.
TURN_GRACE_S = 0.3
# Part of the capacity that may be promised by turns, unless there is only one.
# Of 380 hosts most do not use their turn, since no request arrives just then;
# with turns for all of them, 0.22 of a quota was used, and with 0.5 in place
# of 0.2, 0.64 at 120 hosts.
MAX_PROMISED_RATIO = 0.2
# Hosts without a turn try again after a time that grows with their number, so
# that the number of calls does not, and after MAX_WAIT_S at the latest.
WAIT_PER_HOST_S = 0.01
MAX_WAIT_S = 4.0
# The turns of all hosts together should take a second, so that each host is
# served about once a second; one turn takes at most a tenth of it.
TURNS_S = 1.0
MAX_TURN_S = 0.1
# Rounding errors of sums of floats stay far below this.
TOLERANCE = 1e-6


@dataclass(frozen=True)
class _Turn:
    """Credit that a host gets at ``due_s``; its request needs ``need``."""

    need: float
    amount: float
    due_s: float


class QuotaBucket:
    """The balance of one account and the credit leased to each host.

    ``share`` is the part of the quota that this owner may use.
    """

    def __init__(self, quota: QuotaSpec, bound: QuotaBound, now_s: float) -> None:
        self._quota = quota
        self._bound = bound
        self._full_capacity = bound.capacity(quota)
        self._share = 0.0
        self._hosts = 1
        self._balance = 0.0
        self._updated_s = now_s
        self._starting = StartingQueue(now_s)
        self._leased_by_host_id: dict[str, float] = {}
        # The sum of the leases, which hundreds of hosts change one by one.
        self._leased = 0.0
        self._turns_by_host_id: dict[str, _Turn] = {}
        self._largest = 0.0
        self._largest_s = float("-inf")

    def potential(self, now_s: float) -> float:
        """Return the credit that may still be used: balance and leases."""
        self._refill(now_s)
        return self._balance + self._leased

    def set_share(self, share: float, hosts: int, now_s: float) -> None:
        """Use another part of the quota, for ``hosts`` hosts, from now on.

        A bucket whose owner had no share begins anew, since another owner may
        have leased a burst.
        """
        self._refill(now_s)
        if self._share == 0.0:
            self._balance = 0.0
        if share >= self._share * STARTING_GROWTH:
            self._starting.begin(now_s)
        self._share = share
        self._hosts = max(1, hosts)
        self._clamp(now_s)

    def set_quota(self, quota: QuotaSpec, now_s: float) -> None:
        """Apply a changed quota; a lower one takes effect at once."""
        self._refill(now_s)
        self._quota = quota
        self._full_capacity = self._bound.capacity(quota)
        self._turns_by_host_id.clear()
        self._clamp(now_s)

    def write_off(self, host_id: str, now_s: float) -> None:
        """Regard the credit of a host as used."""
        self._refill(now_s)
        self._set_leased(host_id, 0.0)
        self._turns_by_host_id.pop(host_id, None)
        self._starting.leave(host_id)

    def apply(self, host_id: str, need: QuotaNeed, now_s: float) -> QuotaLease:
        """Apply what a host reports, and lease it what it needs."""
        self._refill(now_s)
        self._record_held(host_id, need, now_s)
        self._record_largest(need.largest, now_s)
        turn = self._end_turn(host_id, need, now_s)
        room = MAX_LEASED_RATIO * self._capacity(now_s) - self._leased
        starting = self._starting.is_starting(now_s)
        granted = self._lease_waiting(host_id, need, now_s)
        missing = need.waiting - granted
        if granted > 0 or need.waiting <= 0:
            self._starting.leave(host_id)
        if missing <= TOLERANCE and not starting:
            available = (self._available(now_s) - granted) * MAX_LEASED_RATIO
            granted += max(0.0, min(need.wanted, available, room))
        self._balance -= granted
        if granted > 0:
            leased = self._leased_by_host_id.get(host_id, 0.0)
            self._set_leased(host_id, leased + granted)
        if missing <= TOLERANCE:
            return QuotaLease(need.account, granted, 0)
        if turn is not None and granted == 0 and now_s < turn.due_s:
            # The host asked too early, such as for another account.
            self._turns_by_host_id[host_id] = turn
            wait_s, starting = turn.due_s - now_s, False
        elif starting or self._rate(now_s) <= 0:
            self._starting.wait(host_id, need.largest, now_s)
            wait_s, starting = 0.0, True
        else:
            wait_s = self._defer(host_id, need, now_s)
        # Rounded up, since the credit is not there before.
        return QuotaLease(need.account, granted, int(wait_s * 1000) + 1, starting)

    def _record_held(self, host_id: str, need: QuotaNeed, now_s: float) -> None:
        """Apply what a host holds and gives back, below the capacity."""
        leased = self._leased_by_host_id.get(host_id, 0.0)
        self._set_leased(host_id, min(need.held, leased))
        room = self._capacity(now_s) - self._balance - self._leased
        self._balance += max(0.0, min(need.returned, room))

    def _record_largest(self, cost: float, now_s: float) -> None:
        """Record the largest cost; one within the burst changes nothing."""
        if cost <= self._quota.burst * self._share:
            return
        if cost >= self._recent_largest(now_s, LARGEST_TTL_S):
            self._largest = min(cost, self._bound.max_cost(self._quota))
            self._largest_s = now_s

    def _lease_waiting(self, host_id: str, need: QuotaNeed, now_s: float) -> float:
        """Return the credit for waiting requests, else for whole ones.

        Parts of requests at many hosts could hold all credit while none of
        them has enough for one.
        """
        available = self._available(now_s) - self._starting.ahead(host_id, now_s)
        if need.waiting <= available + TOLERANCE:
            return need.waiting
        if need.largest <= 0:
            return 0.0
        return max(0.0, available // need.largest * need.largest)

    def _available(self, now_s: float) -> float:
        """Return what may be leased without delaying the turns of hosts."""
        if not self._turns_by_host_id:
            return self._balance
        available, promised, rate_per_s = self._balance, 0.0, self._rate(now_s)
        turns = self._turns_by_host_id.values()
        for turn in sorted(turns, key=lambda item: item.due_s):
            promised += turn.amount
            earned = rate_per_s * max(0.0, turn.due_s - now_s)
            available = min(available, self._balance + earned - promised)
        return max(0.0, available)

    def _end_turn(self, host_id: str, need: QuotaNeed, now_s: float) -> _Turn | None:
        """End the turn that a host uses now, and those not used in time.

        Returns the former.

        A turn for a large request does not end with a small one.
        """
        turns = self._turns_by_host_id
        used = None
        turn = turns.get(host_id)
        if turn is not None and need.largest > 0:
            due = now_s >= turn.due_s and need.largest >= turn.need / 2
            if due or need.largest >= turn.need:
                used = turns.pop(host_id)
        for other_id, other in list(turns.items()):
            if now_s > other.due_s + TURN_GRACE_S:
                del turns[other_id]
        return used

    def _defer(self, host_id: str, need: QuotaNeed, now_s: float) -> float:
        """Return after which time a host should return."""
        rate_per_s = self._rate(now_s)
        promised = sum(turn.amount for turn in self._turns_by_host_id.values())
        turn_s = min(MAX_TURN_S, TURNS_S / self._hosts)
        more = max(0.0, rate_per_s * turn_s - need.largest)
        amount = need.largest + min(more, need.waiting + need.wanted - need.largest)
        wait_s = max(0.0, (amount + promised - self._balance) / rate_per_s)
        room = MAX_PROMISED_RATIO * self._capacity(now_s) - promised
        if amount > room and self._turns_by_host_id:
            wait_s = max(wait_s, WAIT_PER_HOST_S * self._hosts)
            return min(wait_s, MAX_WAIT_S)
        if host_id not in self._turns_by_host_id:
            turn = _Turn(need.largest, amount, now_s + wait_s)
            self._turns_by_host_id[host_id] = turn
        return wait_s

    def _refill(self, now_s: float) -> None:
        """Add the credit of the time since the last update."""
        self._balance += self._rate(now_s) * max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._clamp(now_s)

    def _clamp(self, now_s: float) -> None:
        room = self._capacity(now_s) - self._leased
        self._balance = max(0.0, min(self._balance, room))

    def _set_leased(self, host_id: str, amount: float) -> None:
        self._leased += amount - self._leased_by_host_id.pop(host_id, 0.0)
        if amount > 0:
            self._leased_by_host_id[host_id] = amount
        if not self._leased_by_host_id:
            # Rounding errors would add up.
            self._leased = 0.0

    def _recent_largest(self, now_s: float, ttl_s: float) -> float:
        return self._largest if now_s - self._largest_s <= ttl_s else 0.0

    def _capacity(self, now_s: float) -> float:
        """Return the most credit that may be in use; none without a share."""
        full = self._full_capacity * self._share
        if self._share <= 0 or now_s > self._largest_s + LARGEST_TTL_S:
            return full
        largest = self._recent_largest(now_s, LARGEST_TTL_S)
        return max(full, largest)

    def _rate(self, now_s: float) -> float:
        """Return the credit per second.

        What the capacity exceeds the burst by is taken from the rate of one
        window, as far as the bound of the deployment does not cover it.
        """
        rate_per_s = self._quota.rate_per_s * self._share
        ttl_s = LARGEST_TTL_S + self._bound.window_s
        if now_s > self._largest_s + ttl_s:
            return rate_per_s
        largest = self._recent_largest(now_s, ttl_s)
        excess = max(0.0, largest - self._full_capacity * self._share)
        slow = rate_per_s - excess / self._bound.window_s
        return max(rate_per_s * MAX_SAVED_RATE_RATIO, slow)
