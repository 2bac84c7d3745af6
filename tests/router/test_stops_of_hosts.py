"""Planned stops of real entry-host processes under callers that never pause.

They guard against requests that a stopping host has read and whose callers
get a closed connection, a refusal though the request ran, or another answer:
when the owner of a queue stops, two hosts at once, with several hundred
connections, while engines and servers fail, leave or write copies, and in an
outage of the store.
"""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

import pytest
from stop_fleet import DRAIN_LIMIT_S, Fleet

from kumquat_lab.stack import StackConfig, running_stack
from kumquatrouter.main import EXIT_DRAIN_CUT_SHORT

CALLERS = 40
ANSWERS_BEFORE = 60
ANSWERS_AFTER = 20
CONNECTIONS = 400
# A stop with short requests ends long before the limit: after the notice
# period and its last request.
NOTICE_S = 1.0
# Requests that began this long before the stop, and whose engines have become
# slow, outlast a limit so short.
SLOW_S = 0.5
SHORT_LIMIT_S = 0.6
CONFIG = StackConfig(
    hosts_per_firm=3,
    prefill_engines=2,
    decode_engines=2,
    log_level="info",
    host_limits={"drain_limit_s": DRAIN_LIMIT_S, "drain_notice_s": NOTICE_S},
    engine_changes={"step_base_ms": 5.0, "prefill_overhead_ms": 1.0},
)


class FleetRunner:
    """Runs scenarios against one stack."""

    def __init__(self, runner: asyncio.Runner, fleet: Fleet) -> None:
        self._runner = runner
        self._fleet = fleet

    def run(
        self,
        scenario: Callable[[Fleet], Awaitable[None]],
        exit_code: int = 0,
        idle_close_s: float = NOTICE_S,
    ) -> None:
        """Run a scenario under callers; check what they have seen."""

        async def run() -> list[str]:
            self._fleet.begin(CALLERS)
            await self._fleet.wait_for_answers(ANSWERS_BEFORE)
            try:
                await scenario(self._fleet)
            finally:
                await self._fleet.end()
            return await self._fleet.violations()

        violations = self._runner.run(run())
        fleet = self._fleet
        statuses = Counter((item.kind, item.status) for item in fleet.attempts)
        assert violations == [], statuses
        assert fleet.closed(idle_close_s) == [], statuses
        assert set(fleet.exit_codes.values()) <= {exit_code}, statuses


@pytest.fixture(scope="module")
def fleet() -> Iterator[FleetRunner]:
    with asyncio.Runner() as runner:
        context = running_stack(CONFIG)
        stack = runner.run(context.__aenter__())
        try:
            yield FleetRunner(runner, Fleet(stack))
        finally:
            runner.run(context.__aexit__(None, None, None))


def test_owner_of_a_queue_stops(fleet: FleetRunner) -> None:
    async def scenario(fleet: Fleet) -> None:
        owner = await fleet.owner()
        fleet.terminate(owner)
        await fleet.wait_for_exit([owner])
        # The successor serves the queue.
        await fleet.wait_for_answers(ANSWERS_AFTER)
        log = fleet.new_log(owner)
        assert "reason=drained" in log
        assert "event=request_cut" not in log

    fleet.run(scenario)


def test_two_hosts_stop_at_once(fleet: FleetRunner) -> None:
    async def scenario(fleet: Fleet) -> None:
        owner = await fleet.owner()
        other = next(host for host in fleet.hosts if host is not owner)
        for host in (owner, other):
            fleet.terminate(host)
        await fleet.wait_for_exit([owner, other])
        await fleet.wait_for_answers(ANSWERS_AFTER)

    fleet.run(scenario)


def test_host_with_several_hundred_connections_stops(fleet: FleetRunner) -> None:
    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[0]
        idle = [
            await asyncio.open_connection("127.0.0.1", host.caller_port)
            for _ in range(CONNECTIONS)
        ]
        await fleet.wait_for_answers(ANSWERS_AFTER, host.host_id)
        fleet.terminate(host)
        # An idle connection is closed, and nothing is written to it.
        async with asyncio.timeout(DRAIN_LIMIT_S):
            for reader, writer in idle:
                assert await reader.read() == b""
                writer.close()
        await fleet.wait_for_exit([host])

    fleet.run(scenario)


def test_store_is_away_while_a_host_stops(fleet: FleetRunner) -> None:
    async def scenario(fleet: Fleet) -> None:
        url = fleet.stack.plan.platform_url
        await fleet.set_faults([url], {"outage": True})
        try:
            host = await fleet.owner()
            fleet.terminate(host)
            await fleet.wait_for_exit([host])
        finally:
            await fleet.set_faults([url], {"outage": False})

    fleet.run(scenario)


def test_engines_and_servers_fail_while_a_host_stops(fleet: FleetRunner) -> None:
    async def scenario(fleet: Fleet) -> None:
        host = await fleet.owner()
        fleet.terminate(host)
        await fleet.set_faults(
            fleet.engine_urls(), {"break_streams": True, "fail_prefills": 3}
        )
        await fleet.set_faults(fleet.server_urls()[:1], {"drop_answers": 5})
        await fleet.set_faults(fleet.server_urls()[1:], {"refuse": True})
        try:
            await fleet.wait_for_exit([host])
        finally:
            reset = {"drop_answers": 0, "refuse": False}
            await fleet.set_faults(fleet.server_urls(), reset)

    fleet.run(scenario)


def test_engine_and_server_leave_while_a_host_stops(fleet: FleetRunner) -> None:
    async def scenario(fleet: Fleet) -> None:
        plan = fleet.stack.plan
        leaving = [
            plan.engines_by_firm[fleet.hosts[0].account][0].engine_id,
            plan.servers_by_firm[fleet.hosts[0].account][0].server_id,
        ]
        host = await fleet.owner()
        fleet.terminate(host)
        await fleet.stack.publish_hosts(plan.hosts, leaving)
        try:
            await fleet.wait_for_exit([host])
        finally:
            await fleet.stack.publish_hosts(plan.hosts)

    fleet.run(scenario)


def test_engines_and_servers_stutter_while_a_host_stops(fleet: FleetRunner) -> None:
    async def scenario(fleet: Fleet) -> None:
        urls = [*fleet.engine_urls(), *fleet.server_urls()]
        await fleet.set_faults(urls, {"stutter": {"share": 0.5}})
        try:
            await fleet.wait_for_answers(ANSWERS_AFTER)
            host = await fleet.owner()
            fleet.terminate(host)
            await fleet.wait_for_exit([host])
        finally:
            await fleet.set_faults(urls, {"stutter": {}})

    fleet.run(scenario)


def test_reload_during_a_stop_changes_nothing(fleet: FleetRunner) -> None:
    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[1]
        child = fleet.stack.processes.children_by_name[host.host_id]
        child.send(signal.SIGHUP)
        fleet.terminate(host)
        for _ in range(5):
            child.send(signal.SIGHUP)
            await asyncio.sleep(0.02)
        await fleet.wait_for_exit([host])
        assert "reason=drained" in fleet.new_log(host)

    fleet.run(scenario)


def test_shorter_drain_limit_is_followed(fleet: FleetRunner) -> None:
    """Guards against a stop that goes on to the limit that it began with, so
    that the platform kills the host in the midst of its work."""

    async def scenario(fleet: Fleet) -> None:
        host = fleet.hosts[2]
        fault = {"slowdown": 1000.0, "for_s": DRAIN_LIMIT_S}
        await fleet.set_faults(fleet.engine_urls(), fault)
        await asyncio.sleep(SLOW_S)
        fleet.terminate(host)
        fleet.reload_with_limit(host, SHORT_LIMIT_S)
        await fleet.wait_for_exit([host])
        await fleet.set_faults(fleet.engine_urls(), {"slowdown": 1.0, "for_s": 0.0})
        log = fleet.new_log(host)
        assert "event=drain_limit_changed" in log
        assert "reason=drain_limit" in log
        # Each request that was cut was answered.
        cut = log.count("event=request_cut")
        assert 0 < cut == log.count("reason=cut_at_stop")
        assert "event=answer_cut" not in log

    fleet.run(scenario, EXIT_DRAIN_CUT_SHORT, SHORT_LIMIT_S)
