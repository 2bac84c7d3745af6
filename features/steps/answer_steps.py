"""Steps about model requests, with fakes for engines and shard owner."""

import asyncio

from behave import given, then, when

from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_lab.model_world import ANSWER, ModelWorld


@given("a model request for six tokens")
def create_world(context):
    context.world = ModelWorld()


@given('an engine fails with "{code}" at "{stage}"')
def fail_at_stage(context, code, stage):
    context.world.engines.fail_at[stage].append(RouterError(ResultCode[code]))


@given('the stream of "{url}" breaks before token {position:d}')
def break_stream(context, url, position):
    context.world.engines.cut_after[url] = position


@given('the engines send the tokens "{positions}"')
def send_tokens(context, positions):
    context.world.engines.positions = [int(item) for item in positions.split()]


@when("the request runs")
def run_request(context):
    context.error = None
    try:
        asyncio.run(context.world.run())
    except RouterError as error:
        context.error = error


@when('the caller disconnects at "{stage}"')
def disconnect(context, stage):
    asyncio.run(context.world.run_until_disconnect(stage))


@then("the caller has the whole answer once")
def check_whole(context):
    assert context.error is None, context.error
    assert context.world.is_whole


@then("the request fails")
def check_failure(context):
    assert context.error is not None


@then("the caller has the first {count:d} tokens only")
def check_prefix(context, count):
    assert context.world.sink.tokens == ANSWER[:count]


@then("no engine memory and no grant is held")
def check_freed(context):
    assert context.world.is_all_freed
