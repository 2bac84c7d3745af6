"""Parts of the status document: shard owners, engines and memory."""

import os
import resource
from pathlib import Path
from typing import Any

from kumquat_core.configuration import Configuration, Engine
from kumquat_core.rendezvous import owner_of, shards_of

__all__ = ["engine_documents", "owners_by_shard", "resident_bytes"]

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1
KIB = 1024


def owners_by_shard(
    configuration: Configuration, region: str, live_hosts: list[str]
) -> dict[str, str | None]:
    """Return the owner of each shard of a region, as this host sees it."""
    return {
        shard.id: owner_of(shard.id, live_hosts)
        for pool in configuration.pools_by_name.values()
        if pool.region == region
        for shard in shards_of(pool.name, configuration.engines_of(pool.name))
    }


def engine_documents(
    configuration: Configuration, region: str, held_pieces_by_engine: dict[str, int]
) -> list[dict[str, Any]]:
    """Return the engines of a region with role, state and memory.

    ``held_pieces`` is null for engines whose owner is another host.
    """
    pools = {
        pool.name
        for pool in configuration.pools_by_name.values()
        if pool.region == region
    }
    return [
        _engine_document(engine, held_pieces_by_engine.get(engine.id))
        for engine in configuration.engines_by_id.values()
        if engine.pool in pools
    ]


def _engine_document(engine: Engine, held_pieces: int | None) -> dict[str, Any]:
    return {
        "id": engine.id,
        "pool": engine.pool,
        "failure_domain": engine.failure_domain,
        "role": engine.role.value,
        "state": engine.state.value,
        "total_pieces": engine.total_pieces,
        "held_pieces": held_pieces,
    }


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes.

    Without ``/proc`` this is the maximum since the start.
    """
    try:
        pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    except OSError:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
    return pages * os.sysconf("SC_PAGE_SIZE")
