"""The queue of a service at its owner."""

import asyncio
from dataclasses import dataclass, field

from kumquat_core.peer_messages import RunGrant, RunRefusal

from .stream_queue import StreamQueue

__all__ = ["OwnedQueue"]


@dataclass
class OwnedQueue:
    """A queue, its pending replies, and the timer of its next decisions.

    ``last_used_s`` is the time of the last message for the queue. Until
    ``uncertain_until_s`` the owner may not know of all runs.
    """

    queue: StreamQueue
    last_used_s: float
    uncertain_until_s: float = float("-inf")
    replies_by_id: dict[str, "asyncio.Future[RunGrant | RunRefusal]"] = field(
        default_factory=dict
    )
    timer: asyncio.TimerHandle | None = None

    def runs_at(self, engine_id: str) -> int:
        """Return the number of runs and prefill jobs of an engine."""
        return self.queue.ledger.runs_by_engine().get(engine_id, 0)
