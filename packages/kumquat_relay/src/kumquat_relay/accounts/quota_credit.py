"""Decides on a host which requests of client accounts may run.

Load pattern: thousands of requests a second, most of accounts whose credit
suffices, and some accounts whose callers send four times their quota and
ignore refusals. A decision takes no message while credit is left, nor after
the owner has stated when the account has credit again.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from kumquat_core.quota_messages import (
    LEAVES,
    NOT_COUNTED,
    QuotaGrant,
    QuotaLease,
    QuotaNeed,
    QuotaRequest,
)

from .account_use import DEMAND_WINDOW_S, AccountUse
from .client_accounts import QuotaSpec
from .quota_bound import CREDIT_TTL_S, QuotaBound
from .quota_decision import RUN, WAIT, Decision, Verdict
from .quota_lease import OwnerLease
from .quota_recovery import (
    MAX_CREDIT_WAIT_S,
    SHORT_WAIT_S,
    OwnerRecovery,
)
from .recent_sum import RecentSum

__all__ = ["QuotaCredit"]

# Credit is requested for the demand of this time.
LOOKAHEAD_S = 1.0
# Fewer requests in that time ask the owner one by one. Credit that hundreds of
# hosts keep for a request every few seconds is missing where requests wait.
MIN_LOOKAHEAD_REQUESTS = 3
# Credit beyond this multiple of it is given back, all of it after a time of
# DEMAND_WINDOW_S without a request.
MAX_KEPT_RATIO = 2.0
# Partial reports leave out an account while at least this part of its credit
# is left, which is half a second of its demand.
MIN_HELD_RATIO = 0.5
# An owner that does not reply is replaced in about this time.
NO_OWNER_RETRY_S = 0.3
# An account that had to wait for credit is regarded as over its quota for this
# time after that wait.
KNOWN_USED_UP_S = 1.0
# Longest time that refusals are spread over.
MAX_RETRY_SPREAD_S = 5.0
# An owner that states a longer wait is asked again after this time.
MAX_REFUSED_S = 60.0
# Sums of credit have rounding errors far below this.
TOLERANCE = 1e-6


@dataclass(frozen=True)
class _Call:
    """The call in flight, with the largest waiting cost of each account."""

    sequence: int
    owner: str
    sent_s: float
    largest_by_account: dict[str, float]


class QuotaCredit:
    """The credit of this host and the demand of the accounts.

    ``host_count`` returns the number of known hosts.
    """

    def __init__(
        self, incarnation: int, host_count: Callable[[], int], bound: QuotaBound
    ) -> None:
        self._incarnation = incarnation
        self._host_count = host_count
        self._bound = bound
        self._accounts_by_name: dict[str, AccountUse] = {}
        self._leases_by_owner: dict[str, OwnerLease] = {}
        self._sequence = 0
        self._call: _Call | None = None
        self._recovery = OwnerRecovery(bound)
        self._waiting_requests = 0
        # Owners that know all credit that they have leased to this host.
        self._is_known_to: set[str] = set()
        # Owners of an earlier build, which understand full requests only.
        self._full_only: set[str] = set()

    def begin(self, name: str, cost: float, now_s: float) -> None:
        """Record that a request of an account has arrived."""
        account = self._account(name)
        account.demand.add(cost, now_s)
        account.arrivals.add(1, now_s)
        account.last_cost = cost

    def decide(
        self,
        name: str,
        quota: QuotaSpec,
        cost: float,
        waited_s: float,
        now_s: float,
        left_s: float = math.inf,
    ) -> Decision:
        """Return what happens to a request that has waited for a time.

        ``left_s`` is the time until its deadline.
        """
        if cost > self._bound.max_cost(quota):
            return Decision(Verdict.TOO_LARGE)
        account = self._account(name)
        if self._spend(name, cost, now_s):
            account.admitted.add(cost, now_s)
            return RUN
        max_wait_s = self._max_wait_s(account, quota, cost, waited_s, now_s, left_s)
        refused_s = account.refused_until_s - now_s
        if refused_s > 0 and cost >= account.refused_cost:
            short_s = max(SHORT_WAIT_S, max_wait_s - MAX_CREDIT_WAIT_S - waited_s)
            if refused_s <= short_s and waited_s < max_wait_s:
                return Decision(Verdict.WAIT, refused_s)
            return self._over_quota(account, quota, cost, now_s)
        pause_s = account.next_call_s - now_s
        wait = Decision(Verdict.WAIT, pause_s) if pause_s > 0 else WAIT
        if waited_s < min(max_wait_s, MAX_CREDIT_WAIT_S):
            return wait
        reserve = self._bound.reserve(quota, self._host_count())
        if account.reserve_used.total(now_s) + cost <= reserve:
            account.reserve_used.add(cost, now_s)
            return RUN
        if waited_s < max_wait_s:
            return wait
        if now_s < account.used_up_until_s:
            return self._over_quota(account, quota, cost, now_s)
        return Decision(Verdict.NO_OWNER, NO_OWNER_RETRY_S)

    def begin_wait(self, name: str, cost: float) -> None:
        """Record that a request waits for credit."""
        self._account(name).waiting_costs.append(cost)
        self._waiting_requests += 1

    def end_wait(self, name: str, cost: float) -> None:
        """Record that a request no longer waits."""
        self._account(name).waiting_costs.remove(cost)
        self._waiting_requests -= 1

    def give_back(self, name: str, cost: float, now_s: float) -> None:
        """Refund a request that did not run.

        What the owner already knows to be used is returned to the owner.
        """
        account = self._account(name)
        for lease in self._leases_by_owner.values():
            cost -= lease.put_back(name, cost, now_s)
        account.returned += max(0.0, cost)

    def request(
        self, owner: str, now_s: float, *, leaves: bool = False
    ) -> QuotaRequest:
        """Return the next request to an owner, which is now in flight.

        With ``leaves`` it is the last one before another owner is used.
        """
        self._sequence += 1
        for other_id, other in list(self._leases_by_owner.items()):
            if other_id != owner and other.is_over(now_s):
                del self._leases_by_owner[other_id]
        lease = self._leases_by_owner.setdefault(owner, OwnerLease())
        counted_s = max(
            (
                other.counted_for_s(now_s)
                for other_id, other in self._leases_by_owner.items()
                if other_id != owner
            ),
            default=0.0,
        )
        for name in lease.held_by_account:
            # Credit of an account that is no longer in use here is given back.
            self._account(name)
        partial = owner in self._is_known_to and not leaves
        needs = []
        for name, account in list(self._accounts_by_name.items()):
            need = self._need(name, account, lease, now_s, partial=partial)
            if need is not None:
                needs.append(need)
            elif self._is_idle(account, now_s):
                del self._accounts_by_name[name]
        self._call = _Call(
            self._sequence,
            owner,
            now_s,
            {need.account: need.largest for need in needs},
        )
        # Rounded up, since the previous owner counts this host until then.
        count_after_ms = int(counted_s * 1000) + 1 if counted_s > 0 else 0
        return QuotaRequest(
            self._sequence,
            self._incarnation,
            lease.acknowledged,
            LEAVES if leaves else count_after_ms,
            tuple(needs),
            # Hosts without accounts in use send the shorter form.
            partial and bool(self._accounts_by_name),
        )

    def full_only(self, owner: str) -> None:
        """Record that an owner does not understand partial requests."""
        self._full_only.add(owner)

    def probe(self) -> QuotaRequest:
        """Return a request that only tests whether an owner replies."""
        self._sequence += 1
        return QuotaRequest(self._sequence, self._incarnation, 0, NOT_COUNTED)

    def is_confirmed(self, owner: str) -> bool:
        """Return whether an owner may know that this host has its replies."""
        lease = self._leases_by_owner.get(owner)
        return lease is not None and lease.acknowledged > 0

    def owner_left(self, owner: str) -> None:
        """Record that an owner has ended or does not count this host."""
        self._is_known_to.discard(owner)
        if owner in self._leases_by_owner:
            lease = self._leases_by_owner[owner]
            lease.acknowledged, lease.replied_s = 0, float("-inf")

    def apply(self, grant: QuotaGrant, now_s: float) -> bool:
        """Apply the reply to the call in flight; return whether it is one."""
        call = self._call
        if call is None or grant.sequence != call.sequence:
            return False
        self._call = None
        if call.owner not in self._full_only:
            self._is_known_to.add(call.owner)
        lease = self._leases_by_owner[call.owner]
        lease.renew(call.sequence, call.sent_s, now_s)
        for item in grant.leases:
            if item.account in call.largest_by_account:
                self._apply_lease(lease, item, call, now_s)
        return True

    def fail(self, now_s: float) -> None:
        """Discard the call in flight, whose reply is ignored from now on.

        The next request is a full one, since the reply may have leased credit.
        """
        self._call = None
        self._is_known_to.clear()
        leases = self._leases_by_owner.values()
        had_owner = any(now_s < lease.valid_until_s for lease in leases)
        if had_owner or self._recovery.is_active(now_s):
            self._extend_recovery(now_s)

    def held(self, name: str, now_s: float) -> float:
        """Return the credit of an account that this host may spend."""
        leases = self._leases_by_owner.values()
        return sum(lease.held(name, now_s) for lease in leases)

    def account_count(self) -> int:
        """Return the number of accounts in use at this host."""
        return len(self._accounts_by_name)

    def _apply_lease(
        self, lease: OwnerLease, item: QuotaLease, call: _Call, now_s: float
    ) -> None:
        if item.granted > 0:
            lease.add(item.account, item.granted)
        account = self._accounts_by_name.get(item.account)
        if account is None or not (item.starting or item.wait_ms > 0):
            return
        if item.starting:
            self._extend_recovery(now_s)
            pause_s = self._recovery.pause_s(self._host_count())
            account.next_call_s = now_s + pause_s
            return
        wait_s = min(MAX_REFUSED_S, item.wait_ms / 1000)
        account.refused_until_s = now_s + wait_s
        account.refused_cost = call.largest_by_account[item.account]
        is_known = now_s < account.used_up_until_s
        if wait_s > SHORT_WAIT_S and (is_known or not self._recovery.is_active(now_s)):
            account.used_up_until_s = account.refused_until_s + KNOWN_USED_UP_S

    def _extend_recovery(self, now_s: float) -> None:
        """Let requests wait, except of accounts over their quota before."""
        if not self._recovery.extend(now_s):
            return
        for account in self._accounts_by_name.values():
            if now_s < account.used_up_until_s:
                account.used_up_until_s = max(
                    account.used_up_until_s, self._recovery.until_s
                )

    def _max_wait_s(
        self,
        account: AccountUse,
        quota: QuotaSpec,
        cost: float,
        waited_s: float,
        now_s: float,
        left_s: float,
    ) -> float:
        """Return how long a request may wait, 0 if it must not begin to."""
        if now_s < account.used_up_until_s or not self._recovery.is_active(now_s):
            return MAX_CREDIT_WAIT_S
        waiting = sum(account.waiting_costs) + cost
        if waited_s > 0 or self._recovery.has_room(
            quota, waiting, self._waiting_requests
        ):
            return self._recovery.max_wait_s(waited_s, left_s)
        return 0.0

    def _need(
        self,
        name: str,
        account: AccountUse,
        lease: OwnerLease,
        now_s: float,
        *,
        partial: bool,
    ) -> QuotaNeed | None:
        """Return what the report on an account states, None for nothing.

        If requests wait, what is left is given back: parts of requests at many
        hosts could hold all credit while none of them has enough for one. A
        partial report leaves out accounts that have enough credit left.
        """
        waiting = sum(account.waiting_costs)
        largest = max(account.waiting_costs, default=0.0)
        demand = account.demand.total(now_s)
        target, keep = 0.0, 0.0
        if account.arrivals.total(now_s) >= MIN_LOOKAHEAD_REQUESTS:
            # Credit for less than one request would be of no use.
            target = max(LOOKAHEAD_S * demand / DEMAND_WINDOW_S, account.last_cost)
        if not waiting:
            keep = MAX_KEPT_RATIO * target
        if partial and not (waiting or account.returned):
            is_low = self.held(name, now_s) < MIN_HELD_RATIO * target
            if not is_low and lease.is_kept(name, now_s, keep, MIN_HELD_RATIO):
                return None
        held, returned = lease.report(name, now_s, keep)
        returned, account.returned = returned + account.returned, 0.0
        wanted = max(0.0, target - self.held(name, now_s))
        if not (held or returned or waiting or wanted or partial):
            return None
        return QuotaNeed(name, held, returned, waiting, wanted, largest)

    def _spend(self, name: str, cost: float, now_s: float) -> bool:
        """Spend credit, first that of earlier owners, which expires first."""
        leases = sorted(
            self._leases_by_owner.values(), key=lambda lease: lease.valid_until_s
        )
        if sum(lease.held(name, now_s) for lease in leases) + TOLERANCE < cost:
            return False
        for lease in leases:
            cost -= lease.take(name, cost, now_s)
        return True

    def _over_quota(
        self, account: AccountUse, quota: QuotaSpec, cost: float, now_s: float
    ) -> Decision:
        """Return a refusal with the time at which its caller should return.

        Callers are told times as far apart as the account gets credit here.
        """
        rate_per_s = max(
            quota.rate_per_s / max(1, self._host_count()),
            account.admitted.total(now_s) / DEMAND_WINDOW_S,
        )
        next_s = min(
            account.next_retry_s + cost / rate_per_s, now_s + MAX_RETRY_SPREAD_S
        )
        earliest_s = account.refused_until_s
        if earliest_s <= now_s:
            earliest_s = now_s + SHORT_WAIT_S
        account.next_retry_s = max(earliest_s, next_s)
        return Decision(Verdict.OVER_QUOTA, account.next_retry_s - now_s)

    def _is_idle(self, account: AccountUse, now_s: float) -> bool:
        return (
            not account.waiting_costs
            and account.demand.total(now_s) <= 0
            and account.reserve_used.total(now_s) <= 0
            and now_s >= account.refused_until_s + CREDIT_TTL_S
        )

    def _account(self, name: str) -> AccountUse:
        account = self._accounts_by_name.get(name)
        if account is None:
            account = AccountUse(RecentSum(self._bound.window_s))
            self._accounts_by_name[name] = account
        return account
