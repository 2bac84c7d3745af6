"""The queue of membership updates that a host still has to pass on.

Updates travel on pings and acks. Each is sent a number of times that grows
with the logarithm of the member count, which reaches all members with high
probability; the updates sent least often go first.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .peer_messages import MemberUpdate

__all__ = ["MAX_UPDATES_PER_MESSAGE", "UpdateQueue", "retransmit_limit"]

MAX_UPDATES_PER_MESSAGE = 8

# Each doubling of the member count takes one more round of gossip; the
# factor covers lost messages and receivers that knew the update already.
RETRANSMIT_FACTOR = 3


def retransmit_limit(member_count: int) -> int:
    """Return how often one host passes on one update."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 1))


@dataclass
class _Queued:
    update: MemberUpdate
    sent: int = 0


class UpdateQueue:
    """Updates to pass on, at most one for each host."""

    def __init__(self) -> None:
        self._queued_by_host_id: dict[str, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queued_by_host_id)

    def put(self, update: MemberUpdate) -> None:
        """Queue an update in place of an older one of the same host."""
        self._queued_by_host_id[update.host_id] = _Queued(update)

    def take(
        self, first: Iterable[MemberUpdate], member_count: int
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates of one message, those in ``first`` ahead."""
        chosen = {update.host_id: update for update in first}
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
