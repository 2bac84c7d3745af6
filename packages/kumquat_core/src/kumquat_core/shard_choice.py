"""Choice of the shard that an entry host asks for admission.

The better of two random shards is chosen by the summaries in their last
replies. The cost does not depend on the number of shards.
"""

import random
from collections.abc import Mapping

from .peer_messages import ShardSummary
from .rendezvous import shard_count_of, shard_id_of

__all__ = ["choose_shard"]


def choose_shard(
    pool: str,
    engine_count: int,
    summaries_by_shard_id: Mapping[str, ShardSummary],
    rng: random.Random,
) -> str:
    """Return the id of the shard to ask for admission."""
    count = shard_count_of(engine_count)
    if count == 1:
        return shard_id_of(pool, 0)
    first, second = (shard_id_of(pool, index) for index in rng.sample(range(count), 2))
    preferred = _preference(summaries_by_shard_id.get(first)) >= _preference(
        summaries_by_shard_id.get(second)
    )
    return first if preferred else second


def _preference(summary: ShardSummary | None) -> tuple[int, int, int]:
    """Return a sort key that is greater for a better shard.

    A shard without a summary counts as idle, so that it is asked and its
    reply brings a summary.
    """
    if summary is None:
        return (0, 0, 0)
    return (-summary.expected_wait_ms, -summary.queued, summary.free_pieces)
