"""The requests of a shard that wait for engines.

Requests are kept sorted by the latest time at which they can be granted and
still meet their target, so slack need not be recomputed as time passes and
nothing is sorted again at an event. There is one lane for each model, tenant
and class; candidates are taken from the heads of the lanes. A request that
missed its target time moves behind all others of its lane and is still
served until its patience ends, but never before one that can be on time.
"""

import heapq
import math
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from .pairing import RequestNeeds

__all__ = ["AdmissionQueue", "QueueKey", "WaitingRequest"]


# Requests examined to find a costly one ahead of another.
COSTLY_EXAMINED = 200


class QueueKey(NamedTuple):
    """Order in a lane; ``late`` requests follow all others."""

    late: bool
    moment_s: float
    priority: int
    sequence: int


@dataclass(eq=False)
class WaitingRequest:
    """A request in the queue.

    ``latest_start_s`` is the last time at which a grant meets the TTFT
    target; a grant after ``give_up_s`` is of no use any more. ``order_s`` is
    the position among the requests that can be on time. ``cost_s`` is the
    time the request takes of the whole shard at its scarcest resource.
    ``bypassed`` counts the smaller requests that went ahead while this one
    did not fit.
    """

    needs: RequestNeeds
    latest_start_s: float
    give_up_s: float
    order_s: float
    priority: int
    sequence: int
    cost_s: float = 0.0
    late: bool = False
    bypassed: int = 0

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
        """Return the position in the lane."""
        moment_s = self.give_up_s if self.late else self.order_s
        # A higher priority goes first at equal slack.
        return QueueKey(self.late, moment_s, -self.priority, self.sequence)


@dataclass
class _Lane:
    """Waiting requests of one model, tenant and class, by key."""

    entries: list[tuple[QueueKey, WaitingRequest]] = field(default_factory=list)

    def push(self, item: WaitingRequest) -> None:
        insort(self.entries, (item.key, item), key=_entry_key)

    def remove(self, item: WaitingRequest) -> None:
        index = bisect_left(self.entries, item.key, key=_entry_key)
        assert self.entries[index][1] is item
        del self.entries[index]

    def count_before(self, key: QueueKey) -> int:
        return bisect_left(self.entries, key, key=_entry_key)

    def may_have_past(self, now_s: float) -> bool:
        first, last = self.entries[0][0], self.entries[-1][0]
        return last.late or first.moment_s <= now_s


_LaneKey = tuple[str, str]


def _entry_key(entry: tuple[QueueKey, WaitingRequest]) -> QueueKey:
    return entry[0]


class AdmissionQueue:
    """Waiting requests by request id, and their lanes."""

    def __init__(self, *, late_last: bool = True) -> None:
        self._late_last = late_last
        self._items_by_request_id: dict[str, WaitingRequest] = {}
        self._lanes_by_model: dict[str, dict[_LaneKey, _Lane]] = {}

    def __len__(self) -> int:
        return len(self._items_by_request_id)

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request, if it is in the queue."""
        return self._items_by_request_id.get(request_id)

    def request_ids(self) -> list[str]:
        """Return the ids of all waiting requests."""
        return list(self._items_by_request_id)

    def push(self, item: WaitingRequest) -> None:
        """Add a request; its id must not be in the queue."""
        assert item.request_id not in self._items_by_request_id
        self._items_by_request_id[item.request_id] = item
        lanes = self._lanes_by_model.setdefault(item.model, {})
        lanes.setdefault((item.tenant, item.class_name), _Lane()).push(item)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Take a request out of the queue and return it."""
        item = self._items_by_request_id.pop(request_id, None)
        if item is None:
            return None
        lanes = self._lanes_by_model[item.model]
        lane_key = (item.tenant, item.class_name)
        lane = lanes[lane_key]
        lane.remove(item)
        if not lane.entries:
            del lanes[lane_key]
            if not lanes:
                del self._lanes_by_model[item.model]
        return item

    def tenants(self) -> set[str]:
        """Return the tenants with waiting requests."""
        return {tenant for _, (tenant, _), _ in self._lanes()}

    def candidates(
        self, over_share: set[str], stopped_models: set[str]
    ) -> Iterator[WaitingRequest]:
        """Yield the requests in the order in which they are to be granted.

        Requests of tenants over their share follow the others of the same
        kind: a request that can be on time always precedes a late one. A
        model added to ``stopped_models`` meanwhile yields no more requests.
        The queue must not change while the iterator is in use.
        """
        entries = [
            _ordered(lane, tenant in over_share, number, model, stopped_models)
            for number, (model, (tenant, _), lane) in enumerate(self._lanes())
        ]
        for entry in heapq.merge(*entries):
            yield entry.item

    def count_before(
        self, item: WaitingRequest, models: frozenset[str], over_share: set[str]
    ) -> Counter[str]:
        """Return how many requests of each class precede ``item``."""
        counts: Counter[str] = Counter()
        item_over = item.tenant in over_share
        for model in models:
            for (tenant, class_name), lane in self._lanes_by_model.get(
                model, {}
            ).items():
                tenant_over = tenant in over_share
                if tenant_over == item_over:
                    counts[class_name] += lane.count_before(item.key)
                elif item_over:
                    counts[class_name] += lane.count_before(_end_of_tier(item.late))
                elif item.late:
                    counts[class_name] += lane.count_before(_end_of_tier(False))
        return counts

    def counts(self) -> Counter[str]:
        """Return how many requests of each class wait."""
        counts: Counter[str] = Counter()
        for _, (_, class_name), lane in self._lanes():
            counts[class_name] += len(lane.entries)
        return counts

    def costliest_before(self, item: WaitingRequest) -> WaitingRequest | None:
        """Return the costliest request of the same model before ``item``.

        Of each lane only the nearest requests before ``item`` are examined,
        and no more than a bounded number in all.
        """
        found = None
        left = COSTLY_EXAMINED
        for lane in self._lanes_by_model.get(item.model, {}).values():
            end = lane.count_before(item.key)
            nearest = lane.entries[max(0, end - left) : end]
            left -= len(nearest)
            for _, waiting in nearest:
                if found is None or waiting.cost_s > found.cost_s:
                    found = waiting
        return found

    def take_missed(
        self, now_s: float
    ) -> tuple[list[WaitingRequest], list[WaitingRequest]]:
        """Move requests past their latest start behind the others.

        Returns the requests whose patience ended, which are out of the
        queue, and those that were moved.
        """
        ended, moved = [], []
        for item in self._past(now_s):
            self.remove(item.request_id)
            if now_s >= item.give_up_s:
                ended.append(item)
            else:
                item.late = True
                self.push(item)
                moved.append(item)
        return ended, moved

    def _lanes(self) -> Iterator[tuple[str, _LaneKey, _Lane]]:
        for model, lanes in self._lanes_by_model.items():
            for lane_key, lane in lanes.items():
                yield model, lane_key, lane

    def _past(self, now_s: float) -> list[WaitingRequest]:
        past: list[WaitingRequest] = []
        for _, _, lane in self._lanes():
            if not lane.may_have_past(now_s):
                continue
            first_late = lane.count_before(_end_of_tier(False))
            on_time_end = lane.count_before(_start_of(False, now_s))
            late_end = lane.count_before(_start_of(True, now_s))
            past.extend(item for _, item in lane.entries[:on_time_end])
            past.extend(item for _, item in lane.entries[first_late:late_end])
        return [item for item in past if self._is_past(item, now_s)]

    def _is_past(self, item: WaitingRequest, now_s: float) -> bool:
        misses_target = self._late_last and not item.late
        return now_s >= (item.latest_start_s if misses_target else item.give_up_s)


def _end_of_tier(late: bool) -> QueueKey:
    return QueueKey(late, math.inf, 2**31, 2**62)


def _start_of(late: bool, moment_s: float) -> QueueKey:
    return QueueKey(late, moment_s, 2**31, 2**62)


class _Entry(NamedTuple):
    late: bool
    over_share: bool
    key: QueueKey
    lane_number: int
    item: WaitingRequest


def _ordered(
    lane: _Lane, over: bool, number: int, model: str, stopped_models: set[str]
) -> Iterator[_Entry]:
    for key, item in lane.entries:
        if model in stopped_models:
            return
        yield _Entry(key.late, over, key, number, item)
