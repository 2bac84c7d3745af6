"""Tests for tickets that get lost, are accepted twice or are reverted.

These failures come about when responses of the store are lost, operators
write concurrently, the log is truncated, or peers exchange tickets.
"""

import asyncio
import itertools
import json
import random
import zlib

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from kumquat_core.frames import MAX_FRAME_BYTES
from kumquat_core.peer_messages import Envelope, TicketBatch, encode
from kumquat_core.result_codes import Execution, ResultCode, RouterError
from kumquat_core.ticket_exchange import TicketTail, merge_batch
from kumquat_core.ticket_log import (
    Accepted,
    AlreadyAccepted,
    Conflict,
    SnapshotWrite,
    Superseded,
    TicketLog,
    ticket_key,
)
from kumquat_core.ticket_models import ObjectModel, TicketModel
from kumquat_core.tickets import Ticket, TicketStore
from kumquat_lab.memory_fakes import MemoryObjectStore, MemoryTable
from kumquat_lab.virtual_time import run_in_virtual_time


def make_model(number, version="1", names=("advice",)):
    objects = tuple(
        ObjectModel(kind="model", name=name, state={"version": version})
        for name in names
    )
    return TicketModel(number=number, author="op", objects=objects)


def make_log(table, objects=None):
    return TicketLog(table, objects or MemoryObjectStore(), random.Random(1))


class FaultyTable(MemoryTable):
    """Loses requests or responses of some transactions.

    A "late" transaction fails and takes effect 20 ms after that.
    """

    def __init__(self, faults):
        super().__init__()
        self.faults = list(faults)

    async def transact(self, writes):
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "late":
            asyncio.get_running_loop().call_later(0.02, self.apply, list(writes))
        if fault in ("lost request", "late"):
            raise RouterError(ResultCode.STORE_UNAVAILABLE)
        result = await super().transact(writes)
        if fault == "lost answer":
            raise RouterError(ResultCode.STORE_UNAVAILABLE)
        return result


FAULT_NAMES = ("none", "lost request", "lost answer", "late")


def accepted_tickets(table):
    positions = itertools.count(1)
    rows = iter(lambda: table.row("ticket_log", ticket_key(next(positions))), None)
    return [Ticket.from_document(row.value) for row in rows]


def test_concurrent_tickets_get_one_position_each():
    async def main(clock):
        table = MemoryTable()
        logs = [make_log(table) for _ in range(8)]
        return await asyncio.gather(
            *(
                log.accept(make_model(number), TicketStore())
                for number, log in enumerate(logs, start=1)
            )
        ), accepted_tickets(table)

    results, tickets = run_in_virtual_time(main)
    positions = [result.unwrap().position for result in results]
    assert sorted(positions) == list(range(1, 9))
    assert len(tickets) == 8


@pytest.mark.parametrize("faults", itertools.product(FAULT_NAMES, repeat=3))
def test_ticket_is_accepted_once_when_responses_are_lost(faults):
    async def main(clock):
        table = FaultyTable(faults)
        log = make_log(table)
        result = await log.accept(make_model(5), TicketStore())
        other = await log.accept(make_model(5, "2"), TicketStore())
        await asyncio.sleep(1)
        return result, other, accepted_tickets(table)

    result, other, tickets = run_in_virtual_time(main)
    assert result == Success(Accepted(1))
    assert other == Success(Conflict(5, 1))
    assert [ticket.model.number for ticket in tickets] == [5]


def test_outage_after_a_write_leaves_the_outcome_unknown_until_a_retry():
    async def main(clock):
        table = FaultyTable(["lost answer"])
        log = make_log(table)
        pending = asyncio.ensure_future(log.accept(make_model(5), TicketStore()))
        while not table.transactions:
            await asyncio.sleep(0)
        table.available = False
        during = await pending
        table.available = True
        return during, await log.accept(make_model(5), TicketStore())

    during, after = run_in_virtual_time(main)
    assert during.failure().execution is Execution.UNKNOWN
    assert after == Success(AlreadyAccepted(1))


def test_outage_before_the_first_write_is_reported_as_not_run():
    async def main(clock):
        table = MemoryTable()
        table.available = False
        return await make_log(table).accept(make_model(5), TicketStore())

    assert run_in_virtual_time(main).failure().execution is Execution.NOT_RUN


def test_superseded_ticket_names_the_higher_numbers():
    async def main(clock):
        log, store = make_log(MemoryTable()), TicketStore()
        await log.accept(make_model(9, names=("a",)), store)
        await log.accept(make_model(8, names=("b",)), store)
        partly = await log.accept(make_model(6, names=("a", "c")), store)
        completely = await log.accept(make_model(5, names=("a", "b")), store)
        return partly, completely

    partly, completely = run_in_virtual_time(main)
    assert partly == Success(Accepted(3))
    assert completely == Success(Superseded(4, {"model/a": 9, "model/b": 8}))


def test_new_host_reads_the_newer_snapshot_after_a_truncation():
    class TruncatingTable(MemoryTable):
        """Truncates the log between the snapshot read and the log read."""

        truncate = None

        async def scan(self, table, after, limit):
            if self.truncate is not None:
                truncate, self.truncate = self.truncate, None
                await truncate()
            return await super().scan(table, after, limit)

    async def main(clock):
        table, objects = TruncatingTable(), MemoryObjectStore()
        log, store = make_log(table, objects), TicketStore()
        for number in (1, 2):
            await log.accept(make_model(number), store)
        await log.write_snapshot(store)
        for number in (3, 4, 5):
            await log.accept(make_model(number, f"v{number}"), store)

        async def truncate():
            await log.write_snapshot(store)
            for position in range(1, 5):
                table.delete("ticket_log", ticket_key(position))

        table.truncate = truncate
        new_host = TicketStore()
        result = await log.start(new_host)
        return result, new_host

    result, new_host = run_in_virtual_time(main)
    assert result == Success(True)
    assert new_host.position == 5
    assert new_host.configuration.models_by_name["advice"].version == "v5"


def test_truncated_log_without_a_snapshot_leaves_a_new_host_empty():
    async def main(clock):
        table = MemoryTable()
        log = make_log(table)
        for number in (1, 2):
            await log.accept(make_model(number), TicketStore())
        table.delete("ticket_log", ticket_key(1))
        new_host = TicketStore()
        return await log.start(new_host), new_host.position

    result, position = run_in_virtual_time(main)
    assert result.failure().code is ResultCode.TICKET_INVALID
    assert position == 0


def test_older_snapshot_never_replaces_a_newer_one():
    async def main(clock):
        table, objects = MemoryTable(), MemoryObjectStore()
        log, old, new = make_log(table, objects), TicketStore(), TicketStore()
        await log.accept(make_model(1), old)
        await log.catch_up(new)
        await log.accept(make_model(2), new)
        results = [await log.write_snapshot(store) for store in (new, old, new)]
        objects.contents_by_name["ticket-snapshot"] = b"not JSON"
        return [*results, await log.write_snapshot(new)]

    first, older, same, unreadable = run_in_virtual_time(main)
    assert first == Success(SnapshotWrite.WRITTEN)
    assert older == same == Success(SnapshotWrite.NOT_NEWER)
    assert isinstance(unreadable, Failure)


def make_tickets(numbers):
    return [
        Ticket(position, make_model(number, f"v{number}", names=("a", f"n{number}")))
        for position, number in enumerate(numbers, start=1)
    ]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.permutations(list(range(1, 9))),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=30),
    st.integers(1, 8),
)
def test_peers_converge_after_any_exchanges(numbers, exchanges, initial_count):
    tickets = make_tickets(numbers)
    stores = [TicketStore() for _ in range(3)]
    tails = [TicketTail(store) for store in stores]
    for index, (store, tail) in enumerate(zip(stores, tails, strict=True)):
        tail.apply(tickets[: initial_count if index == 0 else index])
        assert store.position == (initial_count if index == 0 else index)
    for sender, receiver in exchanges:
        before = stores[receiver].number_of("model", "a")
        batch = tails[sender].batch_after(stores[receiver].position)
        assert isinstance(merge_batch(tails[receiver], batch), Success)
        assert stores[receiver].number_of("model", "a") >= before
    for tail in tails:
        tail.apply(tickets)
    assert all(store.snapshot() == stores[0].snapshot() for store in stores)
    assert stores[0].number_of("model", "a") == 8


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
valid_snapshot = TicketStore()
valid_snapshot.apply(make_tickets([3, 1, 2]))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_malformed_batch_changes_nothing(data):
    document = json.loads(json.dumps(valid_snapshot.snapshot()))
    target = data.draw(st.sampled_from([document, *document["objects"]]))
    target[data.draw(st.sampled_from(sorted(target)))] = data.draw(json_values)
    store = TicketStore()
    before = store.snapshot()
    compressed = {"deflated_json": zlib.compress(json.dumps(document).encode())}
    result = merge_batch(TicketTail(store), TicketBatch(9, (), compressed))
    if isinstance(result, Failure):
        assert result.failure().code is ResultCode.TICKET_INVALID
        assert store.snapshot() == before
    malformed = data.draw(st.dictionaries(st.text(max_size=8), json_values))
    result = merge_batch(TicketTail(store), TicketBatch(9, (malformed,)))
    assert result.failure().code is ResultCode.TICKET_INVALID


@pytest.mark.parametrize(
    "compressed",
    [
        {},
        {"deflated_json": 1},
        {"deflated_json": b"x"},
        {"deflated_json": zlib.compress(b"{}")[:-3]},
        {"deflated_json": zlib.compress(b"not JSON")},
    ],
)
def test_snapshot_that_cannot_be_decompressed_changes_nothing(compressed):
    store = TicketStore()
    result = merge_batch(TicketTail(store), TicketBatch(9, (), compressed))
    assert result.failure().code is ResultCode.TICKET_INVALID
    assert store.position == 0


def test_batch_of_large_tickets_fits_in_a_frame():
    names = [f"model-{index:04d}" for index in range(2000)]
    tickets = [
        Ticket(number, make_model(number, "v" * 100, names)) for number in range(1, 31)
    ]
    sender, receiver = TicketStore(), TicketStore()
    tail = TicketTail(sender)
    tail.apply(tickets)
    rounds = 0
    while receiver.position < sender.position:
        batch = tail.batch_after(receiver.position)
        assert len(encode(Envelope(1, batch))) < MAX_FRAME_BYTES
        assert merge_batch(TicketTail(receiver), batch) == Success(True)
        rounds += 1
    assert 1 < rounds < 30
    assert receiver.snapshot() == sender.snapshot()


def test_tickets_after_a_restore_of_the_table_are_read():
    """The log has passed the host's position again, with other tickets."""

    async def run():
        table = MemoryTable()
        log, operator, store = make_log(table), TicketStore(), TicketStore()
        await log.accept(make_model(1), operator)
        copy = table.copy()
        for number in (2, 3):
            await log.accept(make_model(number, names=(f"lost{number}",)), operator)
        assert (await log.catch_up(store)).unwrap()
        table.restore(copy)
        operator = TicketStore()
        for number in (10, 11, 12):
            await log.accept(make_model(number, names=(f"new{number}",)), operator)
        assert (await log.catch_up(store)).unwrap()
        names = set(store.configuration.models_by_name)
        # Tickets that were in force stay so, also if the table has lost them.
        assert names == {"advice", "lost2", "lost3", "new10", "new11", "new12"}
        assert store.position == operator.position

    asyncio.run(run())


def test_shorter_log_after_a_restore_of_the_table_is_followed():
    async def run():
        table = MemoryTable()
        log, store = make_log(table), TicketStore()
        await log.accept(make_model(1), TicketStore())
        copy = table.copy()
        await log.accept(make_model(2, names=("lost",)), TicketStore())
        await log.catch_up(store)
        table.restore(copy)
        await log.catch_up(store)
        assert store.position == 1
        await log.accept(make_model(3, names=("new",)), TicketStore())
        await log.catch_up(store)
        assert set(store.configuration.models_by_name) == {"advice", "lost", "new"}

    asyncio.run(run())
