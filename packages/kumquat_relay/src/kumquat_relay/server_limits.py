"""Accounts for the request rates that servers name, for all hosts together.

Load pattern: an overloaded server names how many requests a second it takes
from all hosts. With hundreds of hosts that is less than one request a second
each, so no host can keep the limit alone.

One host, the owner of the limit, accounts for the requests of all hosts in a
token bucket for each server. Hosts pool equal shares of the limit at the owner
that they report to. An owner counts a host once it has reported for as long as
a previous owner may still count it, so the pools of several owners together
never exceed the limit, also while hosts disagree on the owner.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from kumquat_core.peer_messages import ServerLimit

__all__ = ["HostPool", "ServerLimits"]

# A server learns of unused permits only as idle time, so only the permits of
# this time are kept, at least one.
BURST_S = 0.5
# A server that names a lower rate still gets a request in this time. Without
# any response, the end of its limit would not be noticed.
MAX_PERMIT_PERIOD_S = 10.0
# Hosts that were refused a permit try again, spread over time so that this
# many compete for each permit. More would only add messages.
FETCHES_PER_PERMIT = 4
# Shortest time between two such hosts. With a high limit each of them gets
# several permits at once.
MIN_FETCH_SPACING_S = 0.015
# Longest time until a host tries again; a limit may end at any time.
MAX_DEFERRAL_S = 4.0


@dataclass
class _Bucket:
    """The permits left of one server; times are monotonic seconds."""

    limit: ServerLimit
    permits: float
    updated_s: float
    deferred_until_s: float


class HostPool:
    """The hosts that report to one owner, by host id.

    A host counts while its last report is at most ``ttl_s`` old, and only
    after it has reported for ``ttl_s`` without such a gap.
    """

    def __init__(self) -> None:
        self._reports_by_host_id: dict[str, tuple[float, float]] = {}

    def record(self, host_id: str, ttl_s: float, now_s: float) -> None:
        """Record a report of a host."""
        first_s, last_s = self._reports_by_host_id.get(host_id, (now_s, now_s))
        if now_s - last_s > ttl_s:
            first_s = now_s
        self._reports_by_host_id[host_id] = (first_s, now_s)

    def remove(self, host_id: str) -> None:
        """Stop counting a host, which has another owner."""
        self._reports_by_host_id.pop(host_id, None)

    def members(self, ttl_s: float, now_s: float) -> set[str]:
        """Return the ids of the hosts that count; forget silent hosts."""
        self._reports_by_host_id = {
            host_id: times
            for host_id, times in self._reports_by_host_id.items()
            if now_s - times[1] <= ttl_s
        }
        return {
            host_id
            for host_id, (first_s, _) in self._reports_by_host_id.items()
            if ttl_s <= now_s - first_s
        }


class ServerLimits:
    """The limits that one owner knows, and the permits left of each.

    ``share`` is the part of each limit that this owner may use.
    """

    def __init__(self) -> None:
        self._buckets_by_id: dict[str, _Bucket] = {}
        self._share = 0.0

    def set_share(self, share: float, now_s: float) -> None:
        """Use another part of the limits from now on."""
        if share == self._share:
            return
        for bucket in self._buckets_by_id.values():
            self._refill(bucket, now_s)
        self._share = share

    def set_limit(self, limit: ServerLimit, now_s: float) -> bool:
        """Start or change a limit; return whether that is a change.

        A new limit begins without permits, since requests may be under way.
        """
        bucket = self._buckets_by_id.get(limit.engine)
        if bucket is None:
            self._buckets_by_id[limit.engine] = _Bucket(limit, 0.0, now_s, now_s)
            return True
        if bucket.limit == limit:
            return False
        self._refill(bucket, now_s)
        bucket.limit = limit
        bucket.permits = min(bucket.permits, self._capacity(bucket))
        return True

    def end_limit(self, engine_id: str) -> bool:
        """Remove the limit of a server; return whether it had one."""
        return self._buckets_by_id.pop(engine_id, None) is not None

    def discard_permits(self) -> None:
        """Begin without permits, since another owner may have granted some.

        The limits stay; the next responses show which of them have ended.
        """
        for bucket in self._buckets_by_id.values():
            bucket.permits = 0.0

    def limits(self) -> tuple[ServerLimit, ...]:
        """Return all limits in force."""
        return tuple(bucket.limit for bucket in self._buckets_by_id.values())

    def is_limited(self, engine_id: str) -> bool:
        """Return whether a server has a limit."""
        return engine_id in self._buckets_by_id

    def may_send(self, engine_id: str, now_s: float) -> bool:
        """Return whether a server has no limit or a permit is left."""
        return self.permits_left(engine_id, now_s) >= 1

    def permits_left(self, engine_id: str, now_s: float) -> float:
        """Return the whole permits left; infinity without a limit."""
        bucket = self._buckets_by_id.get(engine_id)
        if bucket is None:
            return math.inf
        self._refill(bucket, now_s)
        return math.floor(bucket.permits)

    def take(self, engine_id: str, wanted: int, now_s: float) -> int:
        """Take up to ``wanted`` permits; return how many were left."""
        bucket = self._buckets_by_id.get(engine_id)
        if bucket is None:
            return wanted
        taken = min(wanted, int(self.permits_left(engine_id, now_s)))
        bucket.permits -= taken
        return taken

    def wait_s(self, engine_ids: Iterable[str], position: int, now_s: float) -> float:
        """Return the seconds until the servers have ``position`` permits.

        0 if one of them has no limit, infinity if none may be used.
        """
        permits, rate_per_s = 0.0, 0.0
        for engine_id in engine_ids:
            bucket = self._buckets_by_id.get(engine_id)
            if bucket is None:
                return 0.0
            permits += self.permits_left(engine_id, now_s)
            rate_per_s += self._rate_per_s(bucket)
        if permits >= position:
            return 0.0
        return (position - permits) / rate_per_s if rate_per_s > 0 else math.inf

    def rate_per_s(self, engine_ids: Iterable[str]) -> float:
        """Return the requests a second that servers take from this pool.

        Infinity if one of them has no limit.
        """
        buckets = [self._buckets_by_id.get(engine_id) for engine_id in engine_ids]
        return sum(
            math.inf if bucket is None else self._rate_per_s(bucket)
            for bucket in buckets
        )

    def next_permit_s(self, engine_id: str, now_s: float) -> float:
        """Return when a limited server has a permit again."""
        return now_s + self.wait_s([engine_id], 1, now_s)

    def defer(self, engine_id: str, now_s: float) -> float:
        """Return the seconds after which a refused host should try again."""
        bucket = self._buckets_by_id[engine_id]
        rate_per_s = self._rate_per_s(bucket)
        spacing_s = MAX_DEFERRAL_S
        if rate_per_s > 0:
            spacing_s = max(MIN_FETCH_SPACING_S, 1 / (FETCHES_PER_PERMIT * rate_per_s))
        earliest_s = self.next_permit_s(engine_id, now_s)
        deferred_s = max(earliest_s, bucket.deferred_until_s + spacing_s)
        bucket.deferred_until_s = min(deferred_s, now_s + MAX_DEFERRAL_S)
        return bucket.deferred_until_s - now_s

    def _refill(self, bucket: _Bucket, now_s: float) -> None:
        """Add the permits of the time since the last update."""
        earned = (now_s - bucket.updated_s) * self._rate_per_s(bucket)
        bucket.permits = min(self._capacity(bucket), bucket.permits + earned)
        bucket.updated_s = now_s

    def _rate_per_s(self, bucket: _Bucket) -> float:
        rate_per_s = max(bucket.limit.rate_per_s, 1 / MAX_PERMIT_PERIOD_S)
        return rate_per_s * self._share

    def _capacity(self, bucket: _Bucket) -> float:
        return max(1.0, BURST_S * self._rate_per_s(bucket))
