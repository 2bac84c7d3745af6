"""Leases the credit of all client accounts to hosts, as their quota owner.

Load pattern: every host reports twice a second, and hosts whose requests wait
ask in between; 380 hosts are about a thousand messages a second. The owner may
be replaced at any time, and hosts may disagree on it.

Each host contributes an equal share of all quotas to the owner that it reports
to. An owner counts a host only for ``MEMBER_TTL_S`` after a reply that the
host has received. It may receive requests late, such as after its machine was
suspended, when the host already counts elsewhere.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.quota_messages import (
    LEAVES,
    NOT_COUNTED,
    QuotaGrant,
    QuotaLease,
    QuotaNeed,
    QuotaRequest,
)

from .client_accounts import QuotaSpec
from .quota_bound import CREDIT_TTL_S, MEMBER_TTL_S, QuotaBound
from .quota_bucket import QuotaBucket

__all__ = ["QuotaOwner"]

# Shares are computed at most once in this time, since each takes a step for
# every host. Hosts are counted for as much less.
REFRESH_S = 0.1
# Replies that a host may still acknowledge; it has one call in flight.
MAX_REPLIES = 4

logger = logging.getLogger(__name__)


@dataclass
class _Member:
    """A host that reports to this owner; times are monotonic seconds.

    ``confirmed_s`` is the time of the last reply that the host is known to
    have received.
    """

    incarnation: int
    sequence: int = 0
    last_request_s: float = 0.0
    confirmed_s: float = float("-inf")
    count_from_s: float = float("-inf")
    reply_times_s: dict[int, float] = field(default_factory=dict)
    accounts: set[str] = field(default_factory=set)


class QuotaOwner:
    """Owns the quotas, together with owners that other hosts select.

    ``quotas_by_account`` returns the quotas in force; it returns the same
    object until they change. ``known_host_ids`` returns the hosts of the
    store's list.
    """

    def __init__(
        self,
        clock: Clock,
        quotas_by_account: Callable[[], Mapping[str, QuotaSpec]],
        known_host_ids: Callable[[], Iterable[str]],
        bound: QuotaBound,
    ) -> None:
        self._clock = clock
        self._quotas = quotas_by_account
        self._known_host_ids = known_host_ids
        self._bound = bound
        self._applied_quotas: Mapping[str, QuotaSpec] = {}
        self._buckets_by_account: dict[str, QuotaBucket] = {}
        self._members_by_host_id: dict[str, _Member] = {}
        self._counted: set[str] = set()
        self._next_refresh_s = float("-inf")
        self.share = 0.0

    def handle(self, message: QuotaRequest, host_id: str) -> QuotaGrant:
        """Return the reply to a request of a host."""
        now_s = self._clock.monotonic()
        if message.count_after_ms == NOT_COUNTED:
            return QuotaGrant(message.sequence)
        member = self._member(message, host_id, now_s)
        if member is None:
            return QuotaGrant(message.sequence)
        self._record(member, message, now_s)
        self._refresh(now_s)
        leases = [self._lease(host_id, need, now_s) for need in message.needs]
        listed = {need.account for need in message.needs}
        if message.partial:
            unused = {need.account for need in message.needs if need.held <= 0}
            member.accounts |= listed
            member.accounts -= unused - {lease.account for lease in leases if lease}
        else:
            for account in member.accounts - listed:
                if account in self._buckets_by_account:
                    self._buckets_by_account[account].write_off(host_id, now_s)
            member.accounts = listed
        member.reply_times_s[message.sequence] = now_s
        if message.count_after_ms == LEAVES:
            member.confirmed_s = float("-inf")
            member.reply_times_s.clear()
            self._next_refresh_s = now_s
        if len(member.reply_times_s) > MAX_REPLIES:
            del member.reply_times_s[min(member.reply_times_s)]
        return QuotaGrant(
            message.sequence,
            tuple(
                lease
                for lease in leases
                if lease is not None
                and (lease.granted > 0 or lease.wait_ms > 0 or lease.starting)
            ),
        )

    def potential(self, account: str) -> float:
        """Return the credit of an account that may still be used here."""
        bucket = self._buckets_by_account.get(account)
        if bucket is None:
            return 0.0
        return bucket.potential(self._clock.monotonic())

    def current_share(self) -> float:
        """Return the part of all quotas that this owner may lease now."""
        self._refresh(self._clock.monotonic())
        return self.share

    def _member(
        self, message: QuotaRequest, host_id: str, now_s: float
    ) -> _Member | None:
        """Return the host of a request, None if the request is outdated."""
        member = self._members_by_host_id.get(host_id)
        if member is not None and message.incarnation > member.incarnation:
            self._remove(host_id, member, now_s)
            member = None
        if member is None:
            member = _Member(message.incarnation)
            self._members_by_host_id[host_id] = member
        outdated = message.incarnation < member.incarnation
        if outdated or message.sequence <= member.sequence:
            log_event(
                logger,
                "quota_request_outdated",
                peer=host_id,
                sequence=message.sequence,
            )
            return None
        return member

    def _record(self, member: _Member, message: QuotaRequest, now_s: float) -> None:
        member.sequence = message.sequence
        member.last_request_s = now_s
        replied_s = member.reply_times_s.get(message.acknowledged)
        if replied_s is not None:
            member.confirmed_s = max(member.confirmed_s, replied_s)
        if message.count_after_ms > 0:
            count_from_s = now_s + message.count_after_ms / 1000
            member.count_from_s = max(member.count_from_s, count_from_s)

    def _lease(self, host_id: str, need: QuotaNeed, now_s: float) -> QuotaLease | None:
        bucket = self._buckets_by_account.get(need.account)
        if bucket is not None:
            return bucket.apply(host_id, need, now_s)
        if need.waiting <= 0:
            return None
        # This host does not have the configuration version of the other yet.
        return QuotaLease(need.account, 0.0, 1, starting=True)

    def _refresh(self, now_s: float) -> None:
        """Apply changed quotas, write off lost hosts and set the shares."""
        self._apply_quotas(now_s)
        if now_s < self._next_refresh_s and self.share > 0:
            return
        self._next_refresh_s = now_s + REFRESH_S
        for host_id, member in list(self._members_by_host_id.items()):
            if now_s - member.last_request_s > CREDIT_TTL_S:
                self._remove(host_id, member, now_s)
        ttl_s = MEMBER_TTL_S - REFRESH_S
        self._counted = {
            host_id
            for host_id, member in self._members_by_host_id.items()
            if now_s - member.confirmed_s <= ttl_s and now_s >= member.count_from_s
        }
        hosts = len(self._counted.union(self._known_host_ids()))
        self._set_share(len(self._counted) / max(1, hosts), now_s)

    def _set_share(self, share: float, now_s: float) -> None:
        if share == self.share:
            return
        if share == 0 or self.share == 0:
            log_event(
                logger,
                "quota_owner_begins" if share > 0 else "quota_owner_ends",
                hosts=len(self._counted),
                accounts=len(self._buckets_by_account),
            )
        self.share = share
        for bucket in self._buckets_by_account.values():
            bucket.set_share(share, len(self._counted), now_s)

    def _apply_quotas(self, now_s: float) -> None:
        quotas = self._quotas()
        if quotas is self._applied_quotas:
            return
        for account in set(self._buckets_by_account) - set(quotas):
            del self._buckets_by_account[account]
        for account, quota in quotas.items():
            bucket = self._buckets_by_account.get(account)
            if bucket is None:
                bucket = QuotaBucket(quota, self._bound, now_s)
                bucket.set_share(self.share, len(self._counted), now_s)
                self._buckets_by_account[account] = bucket
            elif self._applied_quotas.get(account) != quota:
                bucket.set_quota(quota, now_s)
        self._applied_quotas = quotas

    def _remove(self, host_id: str, member: _Member, now_s: float) -> None:
        """Forget a host and regard its credit as used."""
        for account in member.accounts:
            if account in self._buckets_by_account:
                self._buckets_by_account[account].write_off(host_id, now_s)
        del self._members_by_host_id[host_id]
        log_event(
            logger,
            "quota_credit_written_off",
            peer=host_id,
            accounts=len(member.accounts),
        )
