"""Shards of a pool and the hosts that own them.

With rendezvous hashing, a host that joins or leaves changes the owner of its
own shards only. The engines of a pool are spread over the shards by their
rank in a stable order by role and hash, so that each shard has both roles in
the proportion of the pool.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from .configuration import Engine

__all__ = [
    "MAX_SHARD_ENGINES",
    "Shard",
    "owner_of",
    "shard_count_of",
    "shard_id_of",
    "shard_ids_of",
    "shards_of",
]

MAX_SHARD_ENGINES = 32


@dataclass(frozen=True)
class Shard:
    """A part of a pool; one host owns all its engines."""

    id: str
    pool: str
    engine_ids: tuple[str, ...]


def _score(shard_id: str, host_id: str) -> int:
    """Return the rendezvous hash of a shard and a host."""
    return xxhash.xxh3_64_intdigest(f"{shard_id}\0{host_id}".encode())


def owner_of(shard_id: str, host_ids: Iterable[str]) -> str | None:
    """Return the host that owns a shard, or None if there are no hosts."""
    return max(
        host_ids, key=lambda host_id: (_score(shard_id, host_id), host_id), default=None
    )


def shard_count_of(engine_count: int) -> int:
    """Return the number of shards of a pool with ``engine_count`` engines."""
    return max(1, math.ceil(engine_count / MAX_SHARD_ENGINES))


def shard_id_of(pool: str, index: int) -> str:
    """Return the id of one shard of a pool."""
    return f"{pool}/{index}"


def shard_ids_of(pool: str, engine_count: int) -> list[str]:
    """Return the shard ids of a pool with ``engine_count`` engines."""
    return [shard_id_of(pool, index) for index in range(shard_count_of(engine_count))]


def shards_of(pool: str, engines: Sequence[Engine]) -> list[Shard]:
    """Divide a pool into shards of at most ``MAX_SHARD_ENGINES`` engines."""
    shard_ids = shard_ids_of(pool, len(engines))
    members: list[list[str]] = [[] for _ in shard_ids]
    ranked = sorted(
        engines, key=lambda e: (e.role.value, xxhash.xxh3_64_intdigest(e.id.encode()))
    )
    for rank, engine in enumerate(ranked):
        members[rank % len(shard_ids)].append(engine.id)
    return [
        Shard(shard_id, pool, tuple(engine_ids))
        for shard_id, engine_ids in zip(shard_ids, members, strict=True)
    ]
