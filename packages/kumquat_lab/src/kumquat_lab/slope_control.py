"""Slopes of the control state: messages, members, tickets, owners, metrics."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from kumquat_core.clock import ManualClock
from kumquat_core.configuration import Configuration, EngineRole
from kumquat_core.metrics import RouterMetrics
from kumquat_core.peer_messages import (
    AdmissionRequest,
    Envelope,
    Grant,
    MemberUpdate,
    Message,
    Ping,
    PrefillDone,
    Release,
    ShardSummary,
    TicketBatch,
    decode,
    encode,
)
from kumquat_core.rendezvous import owner_of, shards_of
from kumquat_core.result_codes import ResultCode
from kumquat_core.shard_choice import choose_shard
from kumquat_core.shard_scheduler import ShardScheduler
from kumquat_core.ticket_models import ObjectModel, TicketModel
from kumquat_core.tickets import Ticket, TicketStore
from kumquatrouter.decision_log import DecisionLog
from kumquatrouter.request_observer import RequestObserver

from .decision_cost import measure_decisions
from .membership_costs import SimulatedNetwork, to_listed_host
from .slope_series import Series, min_time_us, retained_bytes

__all__ = ["control_series"]

LENGTH_BYTES = 4
REGIONS = 7
POOLS_PER_REGION = 9
HOSTS_PER_REGION = 55
ENGINE_SIZES = (1000, 4000, 12_000)
SHARD_SIZES = (8, 16, 32)
MEMBER_SIZES = (28, 95, 380)
ACCOUNT_SIZES = (100, 400, 1100)
PREFIX_BLOCKS = 4096

# More than the decode slots of the largest shard, so that requests wait.
WAITING_REQUESTS = 1000
MEMBERSHIP_SECONDS = 8.0
SETTLE_SECONDS = 12.0
SUMMARY = ShardSummary("care-pool/17", 300, 4, 120)
REQUEST_ID = "vestland-041.1796355462550.123456"


def control_series(seed: int) -> list[Series]:
    """Measure the costs of all control state."""
    return [
        *_message_series(),
        *_membership_series(seed),
        *_ticket_series(),
        *_owner_series(seed),
        *_scheduler_series(seed),
        *_metrics_series(),
    ]


def _message_series() -> list[Series]:
    cases: list[tuple[str, str, tuple[int, ...], Callable[[int], Message]]] = [
        ("Ping", "member updates", (0, 4, 8), _make_ping),
        ("AdmissionRequest", "prefix blocks", (0, 16, 64), _make_admission),
        ("Grant", "messages", (1, 2, 3), lambda _: _make_grant()),
        ("PrefillDone", "messages", (1, 2, 3), lambda _: _make_prefill_done()),
        ("Release", "messages", (1, 2, 3), lambda _: _make_release()),
        ("TicketBatch", "tickets of one engine", (1, 10, 100), _make_ticket_batch),
    ]
    series = []
    for name, size_name, sizes, create in cases:
        envelopes = [(size, Envelope(7, create(size))) for size in sizes]
        frames = [(size, encode(envelope)) for size, envelope in envelopes]
        series += [
            Series(
                f"{name} on the wire",
                size_name,
                "bytes",
                tuple((size, len(data) + LENGTH_BYTES) for size, data in frames),
            ),
            Series(
                f"{name} encode",
                size_name,
                "us",
                tuple((s, min_time_us(partial(encode, e), 300)) for s, e in envelopes),
            ),
            Series(
                f"{name} decode",
                size_name,
                "us",
                tuple((s, min_time_us(partial(decode, d), 300)) for s, d in frames),
            ),
        ]
    return series


def _make_ping(updates: int) -> Ping:
    return Ping(
        "vestland-041",
        1796355462550,
        5_000_000,
        tuple(
            MemberUpdate(
                f"vestland-{index:03}",
                1796355462550 + index,
                3,
                "alive",
                "192.0.2.101",
                8082,
                "fjord-a",
                "vestland",
            )
            for index in range(updates)
        ),
    )


def _make_admission(blocks: int) -> AdmissionRequest:
    rng = random.Random(blocks)
    return AdmissionRequest(
        REQUEST_ID,
        "care-pool/17",
        "tenant-0417",
        "care-digest",
        "care",
        blocks * 256 + 200,
        475,
        1300,
        8000,
        tuple(rng.getrandbits(63) for _ in range(blocks)),
    )


def _make_grant() -> Grant:
    engines = ("care-prefill-0031", "care-decode-0112")
    return Grant(REQUEST_ID, SUMMARY.shard_id, *engines, 9, SUMMARY)


def _make_prefill_done() -> PrefillDone:
    return PrefillDone(REQUEST_ID, SUMMARY.shard_id, 123.4, 512)


def _make_release() -> Release:
    code = ResultCode.OK.value
    return Release(REQUEST_ID, SUMMARY.shard_id, code, 123.4, 234.5, 31.2, 475)


def _make_ticket_batch(count: int) -> TicketBatch:
    documents = tuple(
        Ticket(number, _engine_ticket(number, number)).to_document()
        for number in range(1, count + 1)
    )
    return TicketBatch(count, documents)


def _engine_ticket(number: int, engine: int) -> TicketModel:
    return TicketModel(
        number=number, author="operator", objects=(_engine_object(engine),)
    )


def _engine_object(engine: int) -> ObjectModel:
    region, pool = engine % REGIONS, engine // REGIONS % POOLS_PER_REGION
    state = {
        "url": f"http://192.0.2.{engine % 250}:8000",
        "pool": f"pool-{region}-{pool}",
        "failure_domain": f"domain-{engine % 25}",
        "role": "decode" if engine % 5 else "prefill",
        "models": [f"model-{pool}"],
    }
    return ObjectModel(kind="engine", name=f"engine-{engine:05}", state=state)


def _pool_objects() -> list[ObjectModel]:
    return [
        ObjectModel(
            kind="pool",
            name=f"pool-{region}-{pool}",
            state={"region": f"region-{region}", "models": [f"model-{pool}"]},
        )
        for region in range(REGIONS)
        for pool in range(POOLS_PER_REGION)
    ]


def _tenant_object(index: int) -> ObjectModel:
    state = {"api_key_sha256": [f"{index:064x}"], "default_class": "chat"}
    return ObjectModel(kind="tenant", name=f"tenant-{index:04}", state=state)


def _make_store(objects: list[ObjectModel]) -> TicketStore:
    """Return a store filled from a snapshot, as after the start of a host."""
    items = [
        {"kind": o.kind, "name": o.name, "number": 1, "state": o.state} for o in objects
    ]
    store = TicketStore()
    store.load_snapshot({"position": 1, "number": 1, "objects": items})
    return store


def _make_engine_store(count: int) -> TicketStore:
    engines = [_engine_object(index) for index in range(count)]
    return _make_store(_pool_objects() + engines)


def _make_account_store(count: int) -> TicketStore:
    return _make_store([_tenant_object(index) for index in range(count)])


def _apply_ticket(store: TicketStore, engines: int) -> None:
    """Apply one more ticket for one of the engines."""
    position = store.position + 1
    store.apply([Ticket(position, _engine_ticket(position, position % engines))])


def _load_snapshot(document: dict[str, Any]) -> None:
    TicketStore().load_snapshot(document)


def _membership_series(seed: int) -> list[Series]:
    rates, traffic, times, memory = [], [], [], []
    for size in MEMBER_SIZES:
        network = SimulatedNetwork(seed)
        for index in range(size):
            network.add(f"host-{index:03}", f"region-{index % REGIONS}")
        network.publish_host_list()
        network.run(SETTLE_SECONDS)
        network.sent_messages = network.sent_bytes = 0
        began_ns = time.process_time_ns()
        network.run(MEMBERSHIP_SECONDS)
        spent_us = (time.process_time_ns() - began_ns) / 1000
        host_seconds = size * MEMBERSHIP_SECONDS
        rates.append((size, network.sent_messages / host_seconds))
        traffic.append((size, network.sent_bytes / host_seconds))
        times.append((size, spent_us / host_seconds))
        memory.append((size, _member_bytes(seed, size)))
    return [
        Series("membership messages of a host", "hosts", "1/s", tuple(rates)),
        Series("membership traffic of a host", "hosts", "bytes/s", tuple(traffic)),
        Series("membership time of a host", "hosts", "us/s", tuple(times)),
        Series("membership memory of a host", "hosts", "bytes", tuple(memory)),
    ]


def _member_bytes(seed: int, size: int) -> int:
    """Return the memory of one host's view of all members."""

    def create(listed: bool) -> SimulatedNetwork:
        network = SimulatedNetwork(seed)
        for index in range(size):
            network.add(f"host-{index:03}", f"region-{index % REGIONS}")
        if listed:
            hosts = [to_listed_host(item) for item in network.members_by_id.values()]
            network.members_by_id["host-000"].apply_host_list(hosts)
        return network

    return retained_bytes(partial(create, True)) - retained_bytes(
        partial(create, False)
    )


def _ticket_series() -> list[Series]:
    applied, memory, snapshots, loads = [], [], [], []
    for size in ENGINE_SIZES:
        store = _make_engine_store(size)
        applied.append((size, min_time_us(partial(_apply_ticket, store, size), 20)))
        memory.append((size, retained_bytes(partial(_make_engine_store, size))))
        document = store.snapshot()
        packed = encode(Envelope(1, TicketBatch(1, (), document)))
        snapshots.append((size, len(packed)))
        loads.append((size, min_time_us(partial(_load_snapshot, document), 1)))
    accounts = [
        (size, retained_bytes(partial(_make_account_store, size)))
        for size in ACCOUNT_SIZES
    ]
    return [
        Series("merge a ticket of one engine", "engines", "us", tuple(applied)),
        Series("configuration memory", "engines", "bytes", tuple(memory)),
        Series("configuration memory", "accounts", "bytes", tuple(accounts)),
        Series("snapshot on the wire", "engines", "bytes", tuple(snapshots)),
        Series("load a snapshot", "engines", "us", tuple(loads)),
    ]


def _owner_series(seed: int) -> list[Series]:
    updates, lookups = [], []
    hosts = [f"host-{index:03}" for index in range(HOSTS_PER_REGION)]
    rng = random.Random(seed)
    for size in ENGINE_SIZES:
        configuration = _make_engine_store(size).configuration
        updates.append(
            (size, min_time_us(partial(_find_owners, configuration, hosts), 5))
        )
        lookups.append(
            (size, min_time_us(partial(_choose_shard, configuration, rng), 20))
        )
    return [
        Series("owners of a region's shards", "engines", "us", tuple(updates)),
        Series("choose a shard for a request", "engines", "us", tuple(lookups)),
    ]


def _find_owners(configuration: Configuration, hosts: list[str]) -> None:
    """Find the owners of all shards of a region."""
    for pool in configuration.pools_by_name.values():
        if pool.region != "region-0":
            continue
        for shard in shards_of(pool.name, configuration.engines_of(pool.name)):
            owner_of(shard.id, hosts)


def _choose_shard(configuration: Configuration, rng: random.Random) -> None:
    """Choose a shard of a pool as an entry host does for each request."""
    count = len(configuration.engines_of("pool-0-0"))
    choose_shard("pool-0-0", count, {}, rng)


def _scheduler_series(seed: int) -> list[Series]:
    times, queued, memory = [], [], []
    for size in SHARD_SIZES:
        idle = asyncio.run(measure_decisions(size, 0, seed))
        full = asyncio.run(measure_decisions(size, WAITING_REQUESTS, seed))
        times.append((size, idle.mean_us))
        queued.append((size, full.mean_us))
        memory.append((size, retained_bytes(partial(_make_scheduler, size))))
    return [
        Series("decide about a request", "engines of the shard", "us", tuple(times)),
        Series(
            f"decide, {WAITING_REQUESTS} waiting",
            "engines of the shard",
            "us",
            tuple(queued),
        ),
        Series("scheduler memory", "engines of the shard", "bytes", tuple(memory)),
    ]


def _make_scheduler(size: int) -> ShardScheduler:
    """Return a scheduler with a full prefix index of its prefill engines."""
    configuration = _make_store([_engine_object(index) for index in range(size)])
    engines = configuration.configuration.engines_by_id.values()
    scheduler = ShardScheduler("pool/0", ManualClock())
    scheduler.update_engines(engines)
    rng = random.Random(size)
    for engine in engines:
        if engine.role is not EngineRole.PREFILL:
            continue
        blocks = [rng.getrandbits(63) for _ in range(PREFIX_BLOCKS)]
        scheduler._prefixes.record_sent(engine.id, blocks, 0.0)
    return scheduler


def _metrics_series() -> list[Series]:
    times, renders, sizes, memory, log = [], [], [], [], []
    for count in ACCOUNT_SIZES:
        observer = RequestObserver.from_clock(ManualClock())
        for index in range(count):
            _record_request(observer, index)
        turn = itertools.count()
        record = partial(_record_next, observer, turn, count)
        times.append((count, min_time_us(record, 200)))
        renders.append((count, min_time_us(observer.metrics.render, 3)))
        sizes.append((count, len(observer.metrics.render())))
        memory.append((count, retained_bytes(partial(_make_metrics, count))))
    for decisions in (500, 1000, 2000):
        log.append((decisions, retained_bytes(partial(_make_decision_log, decisions))))
    return [
        Series("record one request", "accounts", "us", tuple(times)),
        Series("render the metrics", "accounts", "us", tuple(renders)),
        Series("metrics page", "accounts", "bytes", tuple(sizes)),
        Series("metrics memory", "accounts", "bytes", tuple(memory)),
        Series("decision log memory", "decisions", "bytes", tuple(log)),
    ]


def _record_request(observer: RequestObserver, index: int) -> None:
    """Record all events of one completed model request."""
    admission, grant = _make_admission(16), _make_grant()
    observer.metrics.request_started()
    observer.record_grant(REQUEST_ID, admission, grant, 0.01)
    observer.record_owner_decision(admission, grant)
    observer.record_prefill_start("care-digest", 4000)
    observer.record_prefill_end(REQUEST_ID, REQUEST_ID, "care-digest", 0.2, 512)
    observer.record_completion(REQUEST_ID, "care-digest", 234.5, 31.2, 475, 1)
    tenant = f"tenant-{index:04}"
    observer.record_request_end(REQUEST_ID, "care-digest", tenant, ResultCode.OK, 16.0)


def _record_next(
    observer: RequestObserver, turn: "itertools.count[int]", accounts: int
) -> None:
    _record_request(observer, next(turn) % accounts)


def _make_metrics(accounts: int) -> RouterMetrics:
    observer = RequestObserver.from_clock(ManualClock())
    for index in range(accounts):
        _record_request(observer, index)
    return observer.metrics


def _make_decision_log(decisions: int) -> DecisionLog:
    observer = RequestObserver(RouterMetrics(), DecisionLog(ManualClock()))
    admission, grant = _make_admission(16), _make_grant()
    for _ in range(decisions):
        observer.record_owner_decision(admission, grant)
    return observer.decisions
