"""Steps of answers.feature: a model request with fake engines and owner."""

import asyncio

from behave import given, then, when

from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_lab.model_harness import RESPONSE_TOKENS, ModelHarness


@given("a model request for six tokens")
def create_harness(context):
    context.harness = ModelHarness()


@given('an engine fails with "{code}" at "{stage}"')
def fail_at_stage(context, code, stage):
    context.harness.engines.fail_at[stage].append(RouterError(ResultCode[code]))


@given('the stream of "{url}" breaks before token {position:d}')
def break_stream(context, url, position):
    context.harness.engines.cut_after[url] = position


@given('the engines send the tokens "{positions}"')
def send_tokens(context, positions):
    context.harness.engines.positions = [int(item) for item in positions.split()]


@when("the request runs")
def run_request(context):
    context.error = None
    try:
        asyncio.run(context.harness.run())
    except RouterError as error:
        context.error = error


@when('the caller disconnects at "{stage}"')
def disconnect(context, stage):
    asyncio.run(context.harness.run_until_disconnect(stage))


@then("the caller receives the complete response exactly once")
def check_complete(context):
    assert context.error is None, context.error
    assert context.harness.is_complete


@then("the request fails")
def check_failure(context):
    assert context.error is not None


@then("the caller receives only the first {count:d} tokens")
def check_prefix(context, count):
    assert context.harness.sink.tokens == RESPONSE_TOKENS[:count]


@then("no engine memory and no grant remains held")
def check_freed(context):
    assert context.harness.all_released
