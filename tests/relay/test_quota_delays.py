"""Tests that delays of a host's own event loop are not the owner's silence."""

import asyncio
import math
import time
from types import SimpleNamespace
from typing import Any

from kumquat_core.clock import ManualClock
from kumquat_core.quota_messages import QuotaGrant, QuotaLease, QuotaRequest
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_relay.accounts.client_accounts import QuotaSpec
from kumquat_relay.accounts.quota_bound import QuotaBound
from kumquat_relay.accounts.quota_credit import QuotaCredit
from kumquat_relay.accounts.quota_decision import Verdict
from kumquat_relay.accounts.quota_gate import OWNER_TIMEOUT_S, QuotaGate
from kumquat_relay.accounts.quota_owner import QuotaOwner
from kumquat_relay.accounts.running_time import RunningTime
from kumquat_relay.owner_selection import OwnerSelection

from .relay_harness import RelayHarness, run_scenario
from .test_quota_hosts import ACCOUNT, BURST, use_accounts, wait_for_credit

QUOTA = QuotaSpec(10.0, 10.0)


def request(number: int) -> Any:
    return SimpleNamespace(account=ACCOUNT, id=f"id{number}", deadline_s=math.inf)


def test_hosts_with_delayed_loops_keep_their_owner() -> None:
    """A reply takes several passes, more than the timeout if each is slow."""

    async def scenario(harness: RelayHarness) -> None:
        use_accounts(harness)
        owner = await wait_for_credit(harness, harness.hosts)
        gates = [host._limits.quotas.gate for host in harness.hosts]
        loop, is_blocking = asyncio.get_running_loop(), True

        def block() -> None:
            time.sleep(OWNER_TIMEOUT_S / 3)
            if is_blocking:
                loop.call_soon(block)

        block()
        admitted = [gates[number % 3].admit(request(number)) for number in range(45)]
        responses = await asyncio.gather(*admitted)
        await asyncio.gather(*[gate.report() for gate in gates])
        is_blocking = False
        refused = [response for response in responses if response is not None]
        assert {response.status for response in refused} == {429}
        assert BURST - 2 <= 45 - len(refused) <= 2 * BURST
        expected = owner._options.host_id
        assert {gate._last_owner for gate in gates} == {expected}

    run_scenario(scenario, host_count=3)


class FakeLinks:
    """Delays the loop of the caller by ``delay_s`` in each call."""

    def __init__(self, delay_s: float, *, silent: bool = False) -> None:
        self.clock, self.delay_s, self.silent = ManualClock(9.0), delay_s, silent
        self.called: list[str] = []

    async def call(self, host_id: str, message: QuotaRequest, timeout_s: float) -> Any:
        self.called.append(host_id)
        self.clock.advance(self.delay_s)
        end_s = self.clock.monotonic() - self.delay_s + timeout_s
        while self.silent and self.clock.monotonic() < end_s:
            await asyncio.sleep(0)
        if self.clock.monotonic() > end_s or self.silent:
            raise RouterError(ResultCode.PEER_CLOSED, "no reply")
        return QuotaGrant(message.sequence)


def report(links: FakeLinks) -> None:
    """Let a host report that is none of its two possible owners."""
    clock, hosts, quotas = links.clock, ["h1", "h2"], {"shop": QUOTA}
    gate = QuotaGate(
        "h3",
        clock,
        links,  # type: ignore[arg-type]
        OwnerSelection("h3", clock, lambda: dict.fromkeys(hosts, 1.0)),
        QuotaOwner(clock, lambda: quotas, lambda: hosts, QuotaBound()),
        QuotaCredit(1, lambda: 3, QuotaBound()),
        lambda: True,
        lambda: False,
    )

    async def run() -> None:
        reported = asyncio.ensure_future(gate.report())
        passed_s = time.monotonic()
        while not reported.done():
            await asyncio.sleep(0)
            # The timers of the event loop run in real time.
            now_s = time.monotonic()
            clock.advance(now_s - passed_s)
            passed_s = now_s
        await reported

    asyncio.run(run())


def test_a_suspended_host_keeps_its_owner() -> None:
    """Its call takes seconds, but the reply waits when the host resumes."""
    links = FakeLinks(delay_s=5.0)
    report(links)
    assert len(set(links.called)) == 1


def test_a_silent_owner_is_replaced() -> None:
    """Delays of the host itself must not hide that its owner is lost."""
    links = FakeLinks(delay_s=5.0, silent=True)
    report(links)
    assert links.called[0] == links.called[1] != links.called[2]


def test_an_account_whose_credit_is_used_up_is_not_told_of_a_missing_owner() -> None:
    """A late second reply would turn its 429 into 503."""
    credit = QuotaCredit(1, lambda: 3, QuotaBound())
    credit.begin_wait("shop", 1.0)
    sequence = credit.request("h1", 9.0).sequence
    credit.apply(QuotaGrant(sequence, (QuotaLease("shop", 0.0, 80),)), 9.01)
    decision = credit.decide("shop", QUOTA, 1.0, 0.2, 9.2)
    assert decision.verdict is Verdict.OVER_QUOTA
    assert decision.retry_after_s is not None and decision.retry_after_s > 0
    assert credit.decide("shop", QUOTA, 1.0, 0.2, 12.0).verdict is Verdict.NO_OWNER


def test_only_requests_that_can_be_served_wait_for_the_next_owner() -> None:
    """The others would hold memory, and their callers learn it too late."""
    credit = QuotaCredit(1, lambda: 3, QuotaBound())
    sequence = credit.request("h1", 9.0).sequence
    credit.apply(QuotaGrant(sequence), 9.01)
    credit.fail(9.2)
    decide = credit.decide
    assert decide("shop", QUOTA, 1.0, 0.2, 9.3, left_s=2.0).verdict is Verdict.WAIT
    assert decide("shop", QUOTA, 1.0, 2.6, 9.3, left_s=2.0).verdict is Verdict.NO_OWNER
    assert decide("shop", QUOTA, 1.0, 0.2, 9.3, left_s=0.2).verdict is Verdict.NO_OWNER
    for _ in range(50):
        credit.begin_wait("shop", 1.0)
    assert decide("shop", QUOTA, 1.0, 0.0, 9.3, left_s=2.0).verdict is Verdict.NO_OWNER


def test_a_wait_that_outlives_its_loop_raises_nothing() -> None:
    """A process that ends closes its loop while a call is in flight."""

    async def begin() -> Any:
        waiting = RunningTime(ManualClock()).wait(asyncio.Event().wait(), 60.0)
        waiting.send(None)
        await asyncio.sleep(0)
        return waiting

    loop = asyncio.new_event_loop()
    waiting = loop.run_until_complete(begin())
    loop.close()
    waiting.close()
