"""Queue of the requests of a shard that wait for engines.

Requests are kept sorted by the latest start that still meets their target,
so slack need not be recomputed as time passes and no event requires a new
sort. Each combination of model, tenant and class has a subqueue; candidates
are taken from the heads of the subqueues. A request that can no longer meet
its target moves behind all others of its subqueue. It is served until its
patience ends, but never before a request that can be on time.
"""

import heapq
import math
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from .pairing import RequestNeeds

__all__ = ["AdmissionQueue", "QueueKey", "QueuedRequest"]


# Bounds the cost of a search for a request to displace.
MAX_DISPLACEMENT_CANDIDATES = 200


class QueueKey(NamedTuple):
    """Position in a subqueue; ``late`` requests follow all others."""

    late: bool
    time_s: float
    priority: int
    sequence: int


@dataclass(eq=False)
class QueuedRequest:
    """A request in the queue.

    A grant up to ``latest_start_s`` meets the TTFT target; a grant after
    ``queue_deadline_s`` is useless. ``sort_time_s`` orders the requests that
    can be on time. ``cost_s`` is the time for which the request occupies the
    whole shard at its scarcest resource. ``bypass_count`` is the number of
    requests that were granted ahead of this one while it did not fit.
    """

    needs: RequestNeeds
    latest_start_s: float
    queue_deadline_s: float
    sort_time_s: float
    priority: int
    sequence: int
    cost_s: float = 0.0
    late: bool = False
    bypass_count: int = 0

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.needs.request.request_id

    @property
    def model(self) -> str:
        """Return the model of the request."""
        return self.needs.request.model

    @property
    def tenant(self) -> str:
        """Return the tenant of the request."""
        return self.needs.request.tenant

    @property
    def class_name(self) -> str:
        """Return the class of the request."""
        return self.needs.request.class_name

    @property
    def key(self) -> QueueKey:
        """Return the position in the subqueue."""
        time_s = self.queue_deadline_s if self.late else self.sort_time_s
        # A higher priority goes first at equal slack.
        return QueueKey(self.late, time_s, -self.priority, self.sequence)


@dataclass
class _Subqueue:
    """Queued requests of one model, tenant and class, sorted by key."""

    entries: list[tuple[QueueKey, QueuedRequest]] = field(default_factory=list)

    def push(self, item: QueuedRequest) -> None:
        insort(self.entries, (item.key, item), key=_entry_key)

    def remove(self, item: QueuedRequest) -> None:
        index = bisect_left(self.entries, item.key, key=_entry_key)
        assert self.entries[index][1] is item
        del self.entries[index]

    def count_before(self, key: QueueKey) -> int:
        return bisect_left(self.entries, key, key=_entry_key)

    def may_have_overdue(self, now_s: float) -> bool:
        """Return False if no request can be past its time limit."""
        first, last = self.entries[0][0], self.entries[-1][0]
        return last.late or first.time_s <= now_s


_SubqueueKey = tuple[str, str]


def _entry_key(entry: tuple[QueueKey, QueuedRequest]) -> QueueKey:
    return entry[0]


class AdmissionQueue:
    """Queued requests by request id and in subqueues."""

    def __init__(self, *, late_last: bool = True) -> None:
        self._late_last = late_last
        self._items_by_request_id: dict[str, QueuedRequest] = {}
        self._subqueues_by_model: dict[str, dict[_SubqueueKey, _Subqueue]] = {}

    def __len__(self) -> int:
        return len(self._items_by_request_id)

    def get(self, request_id: str) -> QueuedRequest | None:
        """Return a queued request, or None if it is not in the queue."""
        return self._items_by_request_id.get(request_id)

    def request_ids(self) -> list[str]:
        """Return the ids of all queued requests."""
        return list(self._items_by_request_id)

    def push(self, item: QueuedRequest) -> None:
        """Add a request; its id must not be in the queue."""
        assert item.request_id not in self._items_by_request_id
        self._items_by_request_id[item.request_id] = item
        subqueues = self._subqueues_by_model.setdefault(item.model, {})
        subqueues.setdefault((item.tenant, item.class_name), _Subqueue()).push(item)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request and return it, or None if it is not queued."""
        item = self._items_by_request_id.pop(request_id, None)
        if item is None:
            return None
        subqueues = self._subqueues_by_model[item.model]
        subqueue_key = (item.tenant, item.class_name)
        subqueue = subqueues[subqueue_key]
        subqueue.remove(item)
        if not subqueue.entries:
            del subqueues[subqueue_key]
            if not subqueues:
                del self._subqueues_by_model[item.model]
        return item

    def tenants(self) -> set[str]:
        """Return the tenants that have queued requests."""
        return {tenant for _, (tenant, _), _ in self._subqueues()}

    def candidates(
        self, over_share: set[str], stopped_models: set[str]
    ) -> Iterator[QueuedRequest]:
        """Yield the requests in the order in which to grant them.

        Requests that can be on time precede late ones. Within each of these
        two groups, requests of tenants over their share come last. A model
        that is added to ``stopped_models`` during iteration yields no more
        requests. The queue must not change while the iterator is in use.
        """
        entries = [
            _ordered(subqueue, tenant in over_share, number, model, stopped_models)
            for number, (model, (tenant, _), subqueue) in enumerate(self._subqueues())
        ]
        for entry in heapq.merge(*entries):
            yield entry.item

    def count_before(
        self, item: QueuedRequest, models: frozenset[str], over_share: set[str]
    ) -> Counter[str]:
        """Return how many requests of each class precede ``item``.

        Only requests for ``models`` are counted.
        """
        counts: Counter[str] = Counter()
        item_over = item.tenant in over_share
        for model in models:
            for (tenant, class_name), subqueue in self._subqueues_by_model.get(
                model, {}
            ).items():
                tenant_over = tenant in over_share
                if tenant_over == item_over:
                    counts[class_name] += subqueue.count_before(item.key)
                elif item_over:
                    counts[class_name] += subqueue.count_before(
                        _tier_upper_bound(item.late)
                    )
                elif item.late:
                    counts[class_name] += subqueue.count_before(
                        _tier_upper_bound(False)
                    )
        return counts

    def counts(self) -> Counter[str]:
        """Return how many requests of each class are queued."""
        counts: Counter[str] = Counter()
        for _, (_, class_name), subqueue in self._subqueues():
            counts[class_name] += len(subqueue.entries)
        return counts

    def costliest_before(self, item: QueuedRequest) -> QueuedRequest | None:
        """Return the costliest request of the same model before ``item``.

        Only the requests closest to ``item`` in each subqueue are examined,
        and at most ``MAX_DISPLACEMENT_CANDIDATES`` in total.
        """
        costliest = None
        remaining = MAX_DISPLACEMENT_CANDIDATES
        for subqueue in self._subqueues_by_model.get(item.model, {}).values():
            end = subqueue.count_before(item.key)
            nearest = subqueue.entries[max(0, end - remaining) : end]
            remaining -= len(nearest)
            for _, waiting in nearest:
                if costliest is None or waiting.cost_s > costliest.cost_s:
                    costliest = waiting
        return costliest

    def expire_and_demote(
        self, now_s: float
    ) -> tuple[list[QueuedRequest], list[QueuedRequest]]:
        """Remove expired requests and move late ones behind the others.

        Returns the requests whose patience ended, which are no longer in the
        queue, and those that became late.
        """
        expired, now_late = [], []
        for item in self._overdue_items(now_s):
            self.remove(item.request_id)
            if now_s >= item.queue_deadline_s:
                expired.append(item)
            else:
                item.late = True
                self.push(item)
                now_late.append(item)
        return expired, now_late

    def _subqueues(self) -> Iterator[tuple[str, _SubqueueKey, _Subqueue]]:
        for model, subqueues in self._subqueues_by_model.items():
            for subqueue_key, subqueue in subqueues.items():
                yield model, subqueue_key, subqueue

    def _overdue_items(self, now_s: float) -> list[QueuedRequest]:
        """Return the requests past their latest start or their deadline."""
        overdue: list[QueuedRequest] = []
        for _, _, subqueue in self._subqueues():
            if not subqueue.may_have_overdue(now_s):
                continue
            first_late = subqueue.count_before(_tier_upper_bound(False))
            on_time_end = subqueue.count_before(_time_upper_bound(False, now_s))
            late_end = subqueue.count_before(_time_upper_bound(True, now_s))
            overdue.extend(item for _, item in subqueue.entries[:on_time_end])
            overdue.extend(item for _, item in subqueue.entries[first_late:late_end])
        return [item for item in overdue if self._is_overdue(item, now_s)]

    def _is_overdue(self, item: QueuedRequest, now_s: float) -> bool:
        misses_target = self._late_last and not item.late
        return now_s >= (
            item.latest_start_s if misses_target else item.queue_deadline_s
        )


def _tier_upper_bound(late: bool) -> QueueKey:
    """Return a key that sorts after all on-time, or all late, requests."""
    return QueueKey(late, math.inf, 2**31, 2**62)


def _time_upper_bound(late: bool, time_s: float) -> QueueKey:
    """Return a key that sorts after all requests with this time."""
    return QueueKey(late, time_s, 2**31, 2**62)


class _Entry(NamedTuple):
    """A candidate; entries of all subqueues are merged in this order."""

    late: bool
    over_share: bool
    key: QueueKey
    subqueue_number: int
    item: QueuedRequest


def _ordered(
    subqueue: _Subqueue,
    is_over_share: bool,
    number: int,
    model: str,
    stopped_models: set[str],
) -> Iterator[_Entry]:
    """Yield the entries of a subqueue until its model is stopped."""
    for key, item in subqueue.entries:
        if model in stopped_models:
            return
        yield _Entry(key.late, is_over_share, key, number, item)
