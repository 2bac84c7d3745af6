"""Steps of planned_stop.feature: graceful shutdown of an entry host."""

import asyncio
from contextlib import ExitStack

from behave import given, then, when

from kumquat_core.clock import ManualClock
from kumquat_core.result_codes import Execution, RouterError
from kumquatrouter.drain import Drain


@given("a host with {count:d} requests in progress")
def create_host(context, count):
    context.clock = ManualClock()
    context.drain = Drain(100, context.clock)
    context.requests = count


@given("a notice period of {seconds:g} seconds")
def set_notice_period(context, seconds):
    context.drain = Drain(100, context.clock, notice_s=seconds)


@when("the host shuts down")
def begin_shutdown(context):
    context.drain.begin()


@when("the shutdown is cancelled")
def cancel_shutdown(context):
    context.drain.end()


@when("the shutdown has lasted {seconds:g} seconds")
def pass_time(context, seconds):
    context.clock.advance(seconds)


@then("the host is not ready")
def check_not_ready(context):
    assert context.drain.draining


@then("the host waits for {count:d} requests")
def check_waits(context, count):
    context.order = []

    async def scenario():
        drain = Drain(100, context.clock)
        release = asyncio.Event()

        async def request():
            with drain.request():
                await release.wait()
                context.order.append("request")

        tasks = [asyncio.create_task(request()) for _ in range(count)]
        await asyncio.sleep(0)
        drain.begin()
        waiting = asyncio.create_task(drain.wait_idle(10))
        await asyncio.sleep(0)
        assert not waiting.done()
        assert drain.in_progress == count
        release.set()
        assert await waiting
        context.order.append("stop")
        await asyncio.gather(*tasks)

    asyncio.run(scenario())


@then("the shutdown completes after the last request")
def check_order(context):
    assert context.order == ["request"] * context.requests + ["stop"]


def try_request(context):
    """Return the error that refuses a new request, or None."""
    with ExitStack() as stack:
        try:
            stack.enter_context(context.drain.request())
        except RouterError as error:
            return error
    return None


@then("a new request is accepted")
def check_accepted(context):
    assert try_request(context) is None


@then("a new request is refused as not run")
def check_refused(context):
    assert try_request(context).execution is Execution.NOT_RUN
