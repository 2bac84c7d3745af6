"""Tests of the drain.

They guard against requests that are refused while the load balancer still
sends them, and against a drain that ends before the last request.
"""

import asyncio

import pytest

from kumquat_core.clock import ManualClock, SystemClock
from kumquat_core.result_codes import Execution, ResultCode, RouterError
from kumquatrouter.drain import Drain


def test_requests_are_accepted_in_the_notice_period_and_refused_after_it():
    clock = ManualClock()
    drain = Drain(10, clock, notice_s=2.0)
    drain.begin()
    assert drain.draining
    with drain.request():
        clock.advance(2.0)
        with pytest.raises(RouterError) as caught, drain.request():
            pass
    assert caught.value.code is ResultCode.DRAINING
    assert caught.value.execution is Execution.NOT_RUN


def test_drain_waits_for_the_last_request():
    async def scenario() -> list[str]:
        drain = Drain(10, ManualClock())
        order: list[str] = []
        release = asyncio.Event()

        async def request() -> None:
            with drain.request():
                await release.wait()
                order.append("request ended")

        task = asyncio.create_task(request())
        await asyncio.sleep(0)
        drain.begin()
        idle = asyncio.create_task(drain.wait_idle(5.0))
        await asyncio.sleep(0)
        release.set()
        assert await idle
        order.append("drain ended")
        await task
        return order

    assert asyncio.run(scenario()) == ["request ended", "drain ended"]


def test_request_beyond_the_limit_is_refused_as_not_run():
    drain = Drain(1, ManualClock())
    with drain.request(), pytest.raises(RouterError) as caught, drain.request():
        pass
    assert caught.value.execution is Execution.NOT_RUN


def test_request_that_may_outlast_the_process_is_refused_as_not_run():
    """It was taken in during the notice period and cut at the drain limit."""
    clock = ManualClock()
    drain = Drain(10, clock, notice_s=2.0, limit_s=5.0)
    drain.begin_stop()
    clock.advance(1.0)
    with drain.request() as request:
        request.check_time_left(3.5)
        with pytest.raises(RouterError) as caught:
            request.check_time_left(4.0)
    assert caught.value.code is ResultCode.DRAINING
    assert caught.value.execution is Execution.NOT_RUN


def test_drain_without_a_stop_limits_no_request():
    drain = Drain(10, ManualClock(), notice_s=2.0, limit_s=5.0)
    drain.begin()
    with drain.request() as request:
        request.check_time_left(1000.0)


def test_stop_cannot_be_cancelled_or_prolonged():
    """A host that was taken back into service would still have exited."""
    clock = ManualClock()
    drain = Drain(10, clock, notice_s=0.0, limit_s=5.0)
    drain.begin_stop()
    clock.advance(2.0)
    drain.begin_stop()
    drain.end()
    assert drain.left_s == 3.0
    assert drain.refusing


def test_notice_period_of_an_earlier_drain_is_not_waited_for_again():
    async def scenario() -> None:
        clock = ManualClock()
        drain = Drain(10, clock, notice_s=60.0)
        drain.begin()
        clock.advance(60.0)
        drain.begin_stop()
        assert await drain.wait_idle(0.5)

    asyncio.run(scenario())


def test_cut_request_ends_with_its_error_and_new_ones_are_refused():
    async def scenario() -> None:
        drain = Drain(10, ManualClock(), notice_s=60.0)
        error = RouterError(ResultCode.OUTCOME_UNKNOWN)

        async def request() -> None:
            with drain.request("r1") as progress:
                await progress.run(asyncio.Event().wait(), error)

        task = asyncio.create_task(request())
        await asyncio.sleep(0)
        assert drain.cut_requests("second_signal") == 1
        with pytest.raises(RouterError) as caught:
            await task
        assert caught.value is error
        assert drain.in_progress == 0
        assert drain.refusing

    asyncio.run(scenario())


def test_request_that_is_cut_between_two_parts_does_not_begin_the_next():
    async def scenario() -> None:
        drain = Drain(10, ManualClock())
        error = RouterError(ResultCode.OUTCOME_UNKNOWN)
        with drain.request() as progress:
            drain.cut_requests("drain_limit")
            with pytest.raises(RouterError) as caught:
                await progress.run(asyncio.sleep(60), error)
        assert caught.value is error

    asyncio.run(scenario())


def test_changed_limit_holds_for_a_stop_that_has_begun():
    """Requests were accepted for a time that the process no longer had."""
    clock = ManualClock()
    drain = Drain(10, clock, notice_s=60.0, limit_s=60.0)
    drain.begin_stop()
    clock.advance(2.0)
    drain.change_limit(5.0)
    assert drain.left_s == 3.0
    with drain.request() as request:
        with pytest.raises(RouterError):
            request.check_time_left(4.0)
        drain.change_limit(10.0)
        request.check_time_left(4.0)


@pytest.mark.parametrize("limits", [(60.0, 0.05), (0.05, 60.0, 0.1)])
def test_stop_that_waits_follows_a_changed_limit(limits):
    """It went on to the limit that it began with."""

    async def scenario() -> None:
        drain = Drain(10, SystemClock(), limit_s=limits[0])
        with drain.request():
            drain.begin_stop()
            wait = asyncio.create_task(drain.wait_for_stop())
            await asyncio.sleep(0)
            for limit_s in limits[1:]:
                drain.change_limit(limit_s)
            async with asyncio.timeout(10.0):
                assert not await wait

    asyncio.run(scenario())


def test_stop_with_a_longer_limit_waits_for_its_last_request():
    async def scenario() -> None:
        drain = Drain(10, SystemClock(), limit_s=0.02)
        with drain.request():
            drain.begin_stop()
            wait = asyncio.create_task(drain.wait_for_stop())
            await asyncio.sleep(0)
            drain.change_limit(60.0)
            await asyncio.sleep(0.1)
            assert not wait.done()
        assert await wait

    asyncio.run(scenario())


def test_requests_can_be_cut_again_before_they_have_ended():
    """The drain cuts at its limit, and the stop right after it once more: this
    raised an error, and the process ended before it had answered."""

    async def scenario() -> None:
        drain = Drain(10, ManualClock())
        error = RouterError(ResultCode.OUTCOME_UNKNOWN)

        async def request() -> None:
            with drain.request() as progress:
                await progress.run(asyncio.Event().wait(), error)

        task = asyncio.create_task(request())
        await asyncio.sleep(0)
        assert drain.cut_requests("drain_limit") == 1
        await asyncio.sleep(0)
        # The cancellation of the request is on its way.
        assert drain.cut_requests("drain_limit") == 0
        with pytest.raises(RouterError) as caught:
            await task
        assert caught.value is error

    asyncio.run(scenario())
