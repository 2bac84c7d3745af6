"""Steps of tickets.feature; each step runs its command in virtual time."""

import asyncio
import random

from behave import given, then, when
from returns.result import Failure, Success

from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.ticket_exchange import TicketTail, merge_batch
from kumquat_core.ticket_log import (
    Accepted,
    AlreadyAccepted,
    Conflict,
    Superseded,
    TicketLog,
    ticket_key,
)
from kumquat_core.ticket_models import ObjectModel, TicketModel
from kumquat_core.tickets import TicketStore
from kumquat_lab.memory_fakes import MemoryObjectStore, MemoryTable
from kumquat_lab.virtual_time import run_in_virtual_time


class FaultyTable(MemoryTable):
    """A table service that injects a list of faults, one a transaction."""

    def __init__(self):
        super().__init__()
        self.faults = []

    async def transact(self, writes):
        fault = self.faults.pop(0) if self.faults else "no fault"
        await asyncio.sleep(0.001)
        if fault == "late write":
            asyncio.get_running_loop().call_later(0.02, self.apply, list(writes))
        if fault in ("late write", "lost request"):
            raise RouterError(ResultCode.STORE_UNAVAILABLE)
        result = await super().transact(writes)
        if fault == "outage after the write":
            self.available = False
        if fault in ("lost answer", "outage after the write"):
            raise RouterError(ResultCode.STORE_UNAVAILABLE)
        return result


def make_model(number, names, version):
    objects = tuple(
        ObjectModel(kind="model", name=name, state={"version": version})
        for name in names
    )
    return TicketModel(number=number, author="operator", objects=objects)


def describe_result(result):
    """Return the result of an acceptance as features write it."""
    match result:
        case Success(Accepted(position)):
            return f"accepted at {position}"
        case Success(AlreadyAccepted(position)):
            return f"already accepted at {position}"
        case Success(Conflict(number, position)):
            return f"conflict with {number} at {position}"
        case Success(Superseded(position, numbers)):
            higher = " ".join(f"{key}={number}" for key, number in numbers.items())
            return f"superseded at {position} by {higher}"
        case Failure(error):
            return f"{error.code.name} {error.execution.value}"


def run(coroutine_function):
    return run_in_virtual_time(lambda clock: coroutine_function())


def accept(context, number, names, version):
    log = TicketLog(context.service, context.objects, random.Random(number))
    model = make_model(number, names.split(","), version)
    return log.accept(model, TicketStore())


def host(context, name):
    if name not in context.hosts:
        store = TicketStore()
        context.hosts[name] = (store, TicketTail(store))
    return context.hosts[name]


def host_log(context):
    return TicketLog(context.service, context.objects, random.Random(1))


@given("an empty ticket log")
def step_log(context):
    context.service = FaultyTable()
    context.objects = MemoryObjectStore()
    context.hosts = {}


@given('the next transactions have the faults "{faults}"')
def step_faults(context, faults):
    context.service.faults = faults.split(", ")


@when("ticket {number:d} sets {names} to {version}")
def step_accept(context, number, names, version):
    context.result = describe_result(
        run(lambda: accept(context, number, names, version))
    )


@when("tickets are sent at the same time")
def step_submit_concurrently(context):
    rows = [
        (int(row["number"]), row["objects"], row["version"]) for row in context.table
    ]

    async def submit_all():
        return await asyncio.gather(*(accept(context, *row) for row in rows))

    run(submit_all)


@when("the store becomes unavailable")
def step_down(context):
    context.service.available = False
    context.objects.available = False


@when("the store becomes available again")
def step_up(context):
    context.service.available = True
    context.objects.available = True


@when("host {name} polls")
def step_poll(context, name):
    run(lambda: host_log(context).catch_up(host(context, name)[1]))


@when("host {name} starts")
def step_start(context, name):
    run(lambda: host_log(context).start(host(context, name)[1]))


@when("host {name} fetches from host {peer}")
def step_fetch(context, name, peer):
    store, tail = host(context, name)
    batch = host(context, peer)[1].batch_after(store.position)
    context.result = merge_batch(tail, batch)


@when("host {name} writes a snapshot")
def step_snapshot(context, name):
    store, _ = host(context, name)
    result = run(lambda: host_log(context).write_snapshot(store))
    context.result = result.unwrap().value


@when("the log is truncated up to {position:d}")
def step_truncate(context, position):
    for removed in range(1, position + 1):
        context.service.delete("ticket_log", ticket_key(removed))


@then('the result is "{expected}"')
def step_result(context, expected):
    assert context.result == expected, context.result


@then("host {name} is at position {position:d}")
def step_position(context, name, position):
    actual = host(context, name)[0].position
    assert actual == position, actual


@then("host {name} has {model} at {version}")
def step_version(context, name, model, version):
    models = host(context, name)[0].configuration.models_by_name
    assert models[model].version == version, models[model]


@then("the log holds the numbers {numbers}")
def step_numbers(context, numbers):
    tickets = run(lambda: host_log(context).read_after(0)).unwrap()
    actual = sorted(ticket.model.number for ticket in tickets)
    assert actual == sorted(int(item) for item in numbers.split(",")), actual
    positions = [ticket.position for ticket in tickets]
    assert positions == list(range(1, len(tickets) + 1)), positions
