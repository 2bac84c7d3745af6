"""Queue of the membership updates that a host still has to gossip.

Pings and acks carry the updates. Each update is sent a number of times that
grows with the logarithm of the member count, which reaches all members with
high probability. The updates sent least often go first.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .peer_messages import MemberUpdate

__all__ = ["MAX_UPDATES_PER_MESSAGE", "UpdateQueue", "retransmit_limit"]

MAX_UPDATES_PER_MESSAGE = 8

# Each doubling of the member count takes one more round of gossip. The factor
# allows for lost messages and receivers that already have the update.
RETRANSMIT_FACTOR = 3


def retransmit_limit(member_count: int) -> int:
    """Return how many times one host sends one update."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 1))


@dataclass
class _QueuedUpdate:
    update: MemberUpdate
    sent: int = 0


class UpdateQueue:
    """Updates to send, at most one about each host."""

    def __init__(self) -> None:
        self._queued_by_host_id: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued_by_host_id)

    def put(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces an older one about the same host."""
        self._queued_by_host_id[update.host_id] = _QueuedUpdate(update)

    def next_batch(
        self, priority_updates: Iterable[MemberUpdate], member_count: int
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates of one message, ``priority_updates`` first."""
        chosen = {update.host_id: update for update in priority_updates}
        limit = retransmit_limit(member_count)
        waiting = sorted(self._queued_by_host_id.values(), key=lambda q: q.sent)
        for queued in waiting:
            if len(chosen) >= MAX_UPDATES_PER_MESSAGE:
                break
            chosen.setdefault(queued.update.host_id, queued.update)
            queued.sent += 1
            if queued.sent >= limit:
                del self._queued_by_host_id[queued.update.host_id]
        return tuple(chosen.values())
