"""Test harness with the engines and entry hosts of a shard, in memory.

There are one prefill engine ``p1`` and one decode engine ``d1`` with four
pieces of memory, and a manual clock. Hosts hold grants and answer queries; a
test makes them unresponsive, declares them dead or replaces them.
"""

from kumquat_core.clock import ManualClock
from kumquat_core.configuration import Engine, EngineRole
from kumquat_core.engine_client import (
    CacheEvent,
    EngineReport,
    HeldRequest,
    HttpEngineClient,
)
from kumquat_core.membership import Liveness
from kumquat_core.peer_messages import Grant, GrantsHeld, GrantsQuery, ShardSummary
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.shard_scheduler import ShardScheduler
from kumquatrouter.held_grants import HeldGrants
from kumquatrouter.owned_shard import OwnedShard
from kumquatrouter.shard_sweep import SweepCallbacks

from .sample_engines import make_engine

__all__ = ["ENGINES", "ShardHarness", "make_small_engine"]

POLL_S = 0.5


def make_small_engine(engine_id: str) -> Engine:
    """Return an engine with four pieces of memory; its URL is its id."""
    return make_engine(engine_id, url=engine_id, total_pieces=4, piece_tokens=1024)


ENGINES = [make_small_engine("p1"), make_small_engine("d1")]


class ShardHarness:
    """The owner of a shard with fake engines, hosts and liveness."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.held_by_engine: dict[str, dict[str, int]] = {"p1": {}, "d1": {}}
        self.unreachable: set[str] = set()
        self.hosts = {"h1": HeldGrants("h1", 1), "h2": HeldGrants("h2", 1)}
        self.unresponsive_hosts: set[str] = set()
        self.liveness_by_host = {"h1": Liveness.LIVE, "h2": Liveness.LIVE}
        self.majority = True
        self.engine_client = _ReportClient(self)
        self.shard = self.create_owned_shard()

    def create_owned_shard(self) -> OwnedShard:
        """Return the shard at a new owner that has not taken it over yet."""
        callbacks = SweepCallbacks(
            self.liveness, self.query, self.cancel, self.may_cancel
        )
        scheduler = ShardScheduler("pool/0", self.clock)
        shard = OwnedShard(
            "pool/0", scheduler, self.clock, self.engine_client, callbacks
        )
        shard.update_engines(ENGINES)
        return shard

    def liveness(self, host_id: str, incarnation: int) -> Liveness:
        """Return the liveness of a process according to membership."""
        return self.liveness_by_host.get(host_id, Liveness.UNKNOWN)

    def may_cancel(self, age_ms: int) -> bool:
        """Tell whether requests of a dead process may be cancelled."""
        return self.majority or age_ms > 30_000

    async def query(self, host_id: str, query: GrantsQuery) -> GrantsHeld | None:
        """Return the grants that a host holds, None if it is unresponsive."""
        if host_id in self.unresponsive_hosts or host_id not in self.hosts:
            return None
        return self.hosts[host_id].answer_query(query)

    async def cancel(self, engine_id: str, request_id: str) -> None:
        """Free the memory of a request at an engine."""
        self.held_by_engine[engine_id].pop(request_id, None)

    def hold(self, request_id: str, pieces: int = 1, *, granted: bool = True) -> None:
        """Add a grant at a host, and memory for it at the decode engine."""
        host = self.hosts[RequestId.parse(request_id).host_id]
        summary = ShardSummary("pool/0", 0, 0, 0)
        host.add_pending_request(request_id)
        if granted:
            host.record_grant(Grant(request_id, "pool/0", "p1", "d1", pieces, summary))
            host.record_prefill_done(request_id)
        self.held_by_engine["d1"][request_id] = pieces

    async def take_over(self) -> None:
        """Run the takeover of the shard by its current owner."""
        await self.shard.take_over(lambda: list(self.hosts))

    async def run_polls(self, count: int = 8) -> None:
        """Run the periodic reconciliation with engine reports repeatedly."""
        for _ in range(count):
            self.clock.advance(POLL_S)
            await self.shard.poll()

    @property
    def held_ids(self) -> set[str]:
        """Return the ids of the requests that the decode engine holds."""
        return set(self.held_by_engine["d1"])

    @property
    def ledger_ids(self) -> set[str]:
        """Return the ids of the requests in the owner's ledger."""
        return {grant.request_id for grant in self.shard.scheduler.held_grants()}


class _ReportClient(HttpEngineClient):
    """Returns reports of the fake engines of a harness."""

    def __init__(self, harness: "ShardHarness") -> None:
        self._harness = harness

    async def report(self, url: str, *, fresh: bool) -> EngineReport:
        """Return what an engine holds."""
        if url in self._harness.unreachable:
            raise RouterError(ResultCode.ENGINE_FAILED)
        held = tuple(
            HeldRequest(request_id, pieces, 100)
            for request_id, pieces in self._harness.held_by_engine[url].items()
        )
        role = EngineRole.PREFILL if url.startswith("p") else EngineRole.DECODE
        return EngineReport(0, role, ("advice",), 4, 0, held, 0, 10.0)

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Return no events."""
        return []
