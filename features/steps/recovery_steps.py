"""Steps of recovery.feature: a shard owner with fake engines and hosts."""

import asyncio

from behave import given, then, when

from kumquat_core.membership import Liveness
from kumquat_core.peer_messages import AdmissionRequest, Grant, Release
from kumquat_lab.shard_harness import ENGINES, ShardHarness


def request_for(pieces: int) -> AdmissionRequest:
    return AdmissionRequest(
        request_id="h2.1.99",
        shard_id="pool/0",
        tenant="t",
        class_name="c",
        model="advice",
        prompt_tokens=1,
        max_tokens=pieces * ENGINES[0].piece_tokens - 1,
        ttft_deadline_ms=60_000,
        patience_ms=60_000,
    )


async def grant_or_none(harness: ShardHarness, pieces: int) -> Grant | None:
    """Return the grant of a request, or None if it waits in the queue."""
    admission = asyncio.ensure_future(harness.shard.admit(request_for(pieces)))
    for _ in range(10):
        await asyncio.sleep(0)
    if not admission.done():
        admission.cancel()
        await asyncio.wait([admission])
        return None
    result = admission.result()
    assert isinstance(result, Grant), result
    return result


def parse_ids(text: str) -> set[str]:
    """Return the request ids that a step names: one or ``nothing``."""
    return set() if text == "nothing" else {text.strip('"')}


@given("the owner has taken over the shard")
def start(context):
    context.harness = ShardHarness()
    asyncio.run(context.harness.take_over())


@given('entry host "{host_id}" runs request "{request_id}" on {pieces:d} pieces')
def run_request(context, host_id, request_id, pieces):
    context.harness.hold(request_id, pieces)
    grant = context.harness.hosts[host_id].find_grant(request_id)
    context.harness.shard.scheduler.track_grant(grant)


@given(
    'entry host "{host_id}" runs request "{request_id}" that the owner does not know'
)
def run_unknown_request(context, host_id, request_id):
    context.harness.hold(request_id, 1)


@when('entry host "{host_id}" crashes')
def crash(context, host_id):
    context.harness.liveness_by_host[host_id] = Liveness.DEAD
    context.harness.unresponsive_hosts.add(host_id)


@when('entry host "{host_id}" is replaced')
def replace_host(context, host_id):
    context.harness.liveness_by_host[host_id] = Liveness.REPLACED


@when('entry host "{host_id}" is live but does not respond')
def stop_responding(context, host_id):
    context.harness.unresponsive_hosts.add(host_id)


@when('entry host "{host_id}" is declared dead but responds')
def declare_dead(context, host_id):
    context.harness.liveness_by_host[host_id] = Liveness.DEAD


@when('entry host "{host_id}" is considered dead by an owner in the minority')
def crash_for_minority(context, host_id):
    crash(context, host_id)
    context.harness.majority = False


@when("another host takes over the shard")
def change_owner(context):
    context.harness.shard.close()
    context.harness.shard = context.harness.create_owned_shard()
    asyncio.run(context.harness.take_over())


@when("the owner polls {count:d} times")
def poll(context, count):
    asyncio.run(context.harness.run_polls(count))


@when('the request "{request_id}" ends and {lost}')
def end_request(context, request_id, lost):
    harness = context.harness
    harness.hosts[request_id.split(".")[0]].remove(request_id)
    if lost == "its release is lost":
        harness.held_by_engine["d1"].pop(request_id)
    elif lost == "the engine is not notified":
        harness.shard.handle(Release(request_id, "pool/0", 0))
    else:
        assert lost == "neither owner nor engine is notified"


@then("the engine holds {text}")
def check_engine(context, text):
    assert context.harness.held_ids == parse_ids(text), context.harness.held_ids


@then("the ledger holds {text}")
def check_ledger(context, text):
    assert context.harness.ledger_ids == parse_ids(text), context.harness.ledger_ids


@then("a request for {pieces:d} pieces is granted")
def check_granted(context, pieces):
    assert asyncio.run(grant_or_none(context.harness, pieces)) is not None


@then("a request for {pieces:d} pieces waits")
def check_waits(context, pieces):
    assert asyncio.run(grant_or_none(context.harness, pieces)) is None
