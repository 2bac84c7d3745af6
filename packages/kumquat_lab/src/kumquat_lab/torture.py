"""Injects random faults of all kinds under load and checks the invariants.

Callers send model requests and plain calls to both client accounts,
disconnect at random, and repeat plain calls with the same idempotency key on
another host, while faults are injected and removed. After the last fault, the
system gets the recovery time that the design page specifies. Then no response
may be damaged or lost, no request executed twice or wrongly reported as not
run, no memory still held and no ticket reverted.
"""

import asyncio
import random
import time
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
from returns.result import Success

from kumquat_core.http_client import TRANSPORT_ERRORS, create_session
from kumquat_core.object_client import HttpObjectClient
from kumquat_core.table_client import HttpTableClient
from kumquat_core.ticket_log import Accepted, TicketLog
from kumquat_core.ticket_models import ObjectModel, TicketModel
from kumquat_core.tickets import TicketStore

from .arrivals import make_model_call, make_plain_call
from .caller import CallOutcome, ModelCall, PlainCall, call_model, call_plain
from .client_accounts import CLIENT_ACCOUNTS, ClientAccount
from .emulated_responses import response_seed
from .stack import Stack, StackConfig, running_stack
from .torture_faults import FaultInjector
from .torture_result import TortureResult

__all__ = ["TortureResult", "run_torture"]

MODEL_REQUESTS_PER_S = 4.0
PLAIN_CALLS_PER_S = 3.0
MEAN_FAULT_PAUSE_S = 1.2
DISCONNECT_SHARE = 0.3
MAX_CALLS_PER_KEY = 3
NOT_RUN = "not_run"

# Section 1 of the design page: memory of abandoned requests is freed within
# seconds after a crash (2 s to 4 s to declare the host dead, then one sweep),
# and every host applies a ticket within 14 s.
RELEASE_LIMIT_S = 10.0
TICKET_LIMIT_S = 14.0
POLL_S = 0.25
FIRST_TICKET_NUMBER = 100


@dataclass(frozen=True)
class SentRequest:
    """A call, the host that received it and its outcome."""

    call: ModelCall | PlainCall
    host_id: str
    begin_s: float
    outcome: CallOutcome


class _Torture:
    """A torture run against a stack."""

    def __init__(self, stack: Stack, seed: int, only_faults: Collection[str]) -> None:
        self._stack = stack
        self._rng = random.Random(f"torture/{seed}")
        self._faults = FaultInjector(
            stack, random.Random(f"faults/{seed}"), only_faults
        )
        self._sent_requests: list[SentRequest] = []
        self._numbers_by_process: dict[tuple[str, int], int] = {}
        self._accepted_numbers: list[int] = []
        self.result = TortureResult(seed)

    async def run(self, seconds: float) -> None:
        """Run load and faults for a duration, then check the invariants."""
        until_s = time.monotonic() + seconds
        watch = asyncio.create_task(self._watch_tickets())
        async with create_session(2.0) as session, asyncio.TaskGroup() as group:
            group.create_task(self._faults.run(until_s, MEAN_FAULT_PAUSE_S))
            group.create_task(self._submit_tickets(until_s))
            for account in CLIENT_ACCOUNTS:
                group.create_task(self._send_models(session, account, until_s))
                group.create_task(self._send_plain(session, account, until_s))
        await self._stack.publish_hosts(self._stack.plan.hosts)
        ended_s = time.monotonic()
        self.result.held = await self._count_held_pieces(ended_s + RELEASE_LIMIT_S)
        self.result.late_tickets = await self._count_outdated_hosts(
            ended_s + TICKET_LIMIT_S
        )
        watch.cancel()
        await self._check_invariants()

    # Load

    async def _send_models(
        self, session: aiohttp.ClientSession, account: ClientAccount, until_s: float
    ) -> None:
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                call = make_model_call(
                    self._rng, account, self._rng.choice(account.work)
                )
                if self._rng.random() < DISCONNECT_SHARE:
                    call = self._with_disconnect(call)
                group.create_task(self._send(session, account, call))
                await asyncio.sleep(self._rng.expovariate(MODEL_REQUESTS_PER_S))

    def _with_disconnect(self, call: ModelCall) -> ModelCall:
        if self._rng.random() < 0.5:
            return replace(call, cancel_after_s=self._rng.uniform(0.0, 2.0))
        return replace(call, cancel_after_tokens=self._rng.randint(1, 40))

    async def _send_plain(
        self, session: aiohttp.ClientSession, account: ClientAccount, until_s: float
    ) -> None:
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                index = self._rng.randrange(len(account.services))
                call = make_plain_call(self._rng, account, index)
                group.create_task(self._call_repeatedly(session, account, call))
                await asyncio.sleep(self._rng.expovariate(PLAIN_CALLS_PER_S))

    async def _call_repeatedly(
        self, session: aiohttp.ClientSession, account: ClientAccount, call: PlainCall
    ) -> None:
        """Repeat a call with its key, sometimes with two calls in parallel."""
        repeated = replace(call, first_attempt=False)
        for number in range(MAX_CALLS_PER_KEY):
            if self._rng.random() < 0.1:
                outcome, _ = await asyncio.gather(
                    self._send(session, account, repeated),
                    self._send(session, account, repeated),
                )
            else:
                sent = repeated if number else call
                outcome = await self._send(session, account, sent)
            if outcome.kind == "ok" or self._rng.random() < 0.4:
                return
            await asyncio.sleep(self._rng.uniform(0.05, 1.0))

    async def _send(
        self,
        session: aiohttp.ClientSession,
        account: ClientAccount,
        call: ModelCall | PlainCall,
    ) -> CallOutcome:
        host = self._rng.choice(self._faults.running_hosts(account))
        begin_s = time.monotonic()
        if isinstance(call, ModelCall):
            outcome = await call_model(session, host.caller_url, call)
        else:
            outcome = await call_plain(session, host.caller_url, call)
        self._sent_requests.append(SentRequest(call, host.host_id, begin_s, outcome))
        return outcome

    # Tickets

    async def _submit_tickets(self, until_s: float) -> None:
        """Submit conflicting tickets: two writers race for each number."""
        number = FIRST_TICKET_NUMBER
        async with create_session(2.0) as session:
            url = self._stack.plan.platform_url
            logs = [
                TicketLog(
                    HttpTableClient(session, url, 1.0),
                    HttpObjectClient(session, url, 1.0),
                    random.Random(f"writer/{writer}/{self.result.seed}"),
                )
                for writer in range(2)
            ]
            while time.monotonic() < until_s:
                number += self._rng.choice((-1, 1, 2))
                tickets = [_build_ticket(number, writer) for writer in range(2)]
                accepted = await asyncio.gather(
                    *(
                        log.accept(ticket, TicketStore())
                        for log, ticket in zip(logs, tickets, strict=True)
                    )
                )
                if any(
                    isinstance(item, Success) and isinstance(item.unwrap(), Accepted)
                    for item in accepted
                ):
                    self._accepted_numbers.append(number)
                await asyncio.sleep(self._rng.uniform(0.5, 2.0))

    async def _watch_tickets(self) -> None:
        """Count the times that a process returns to a lower ticket number."""
        while True:
            for status in await self._fetch_statuses():
                process = (status["host_id"], status["incarnation"])
                number = status["ticket_number"]
                if number < self._numbers_by_process.get(process, 0):
                    self.result.reverted_tickets += 1
                    self.result.details.append(f"ticket reverted at {process}")
                self._numbers_by_process[process] = number
            await asyncio.sleep(POLL_S)

    async def _count_outdated_hosts(self, limit_s: float) -> int:
        """Wait for all hosts to apply the highest ticket.

        Returns how many have not applied it at the time limit.
        """
        highest = max(self._accepted_numbers, default=0)
        while True:
            statuses = await self._fetch_statuses()
            numbers = [status["ticket_number"] for status in statuses]
            late: int = sum(number < highest for number in numbers)
            late += len(self._stack.plan.hosts) - len(numbers)
            if late == 0 or time.monotonic() >= limit_s:
                return late
            await asyncio.sleep(POLL_S)

    async def _fetch_statuses(self) -> list[dict[str, Any]]:
        async def status_of(url: str) -> dict[str, Any] | None:
            try:
                async with asyncio.timeout(1.0):
                    return await self._stack.call("GET", url)  # type: ignore[no-any-return]
            except TRANSPORT_ERRORS:
                return None

        urls = [f"{host.admin_url}/admin/status" for host in self._stack.plan.hosts]
        found = await asyncio.gather(*(status_of(url) for url in urls))
        return [status for status in found if status is not None]

    # Checks

    async def _count_held_pieces(self, limit_s: float) -> int:
        """Wait for the engines to free all memory.

        Returns how many pieces are still held at the time limit.
        """
        while True:
            reports = await self._fetch_reports()
            held: int = sum(report["held_pieces"] for report in reports)
            if held == 0 or time.monotonic() >= limit_s:
                for report in reports:
                    self.result.details += [f"held {r}" for r in report["requests"]]
                return held
            await asyncio.sleep(POLL_S)

    async def _fetch_reports(self) -> list[dict[str, Any]]:
        urls = [
            f"http://127.0.0.1:{engine.port}/v1/report?fresh=1"
            for engine in self._stack.plan.engines
        ]
        return list(await asyncio.gather(*(self._stack.call("GET", u) for u in urls)))

    async def _check_invariants(self) -> None:
        result = self.result
        executions = await self._fetch_executions()
        prefills = await self._fetch_prefills()
        result.requests = len(self._sent_requests)
        result.work_for_leaving = self._faults.work_for_leaving
        result.faults = dict(sorted(self._faults.counts_by_kind.items()))
        kinds = Counter(
            f"{s.outcome.kind}/{s.outcome.code}" for s in self._sent_requests
        )
        result.outcomes = dict(sorted(kinds.items()))
        result.max_executions = max(executions.values(), default=0)
        for body, count in executions.items():
            if count > 1:
                result.details.append(f"executed {count} times: {body}")
        for sent in self._sent_requests:
            self._check_request(sent, executions, prefills)
        self._check_refused_keys(executions)

    def _check_request(
        self, sent: SentRequest, executions: Counter[str], prefills: Counter[int]
    ) -> None:
        outcome, result = sent.outcome, self.result
        text = f"{outcome.class_name} at {sent.host_id} {outcome.request_id}"
        if outcome.kind == "damaged":
            result.damaged += 1
            result.details.append(f"damaged {text}: {outcome.detail}")
        if outcome.kind == "lost" and not self._faults.had_outage(
            sent.host_id, sent.begin_s, outcome.ended_s
        ):
            result.lost += 1
            spent_s = outcome.ended_s - sent.begin_s
            result.details.append(f"lost {text}: {outcome.detail} {spent_s:.2f} s")
        match sent.call:
            case ModelCall(model=model, prompt=prompt):
                if (
                    outcome.execution == NOT_RUN
                    and prefills[response_seed(model, prompt)]
                ):
                    result.false_not_run += 1
                    result.details.append(f"false not run {text} {outcome.code}")
            case PlainCall(body=body):
                if outcome.kind == "ok" and not executions[body.decode()]:
                    result.lost += 1
                    result.details.append(f"answered but not executed: {text}")

    def _check_refused_keys(self, executions: Counter[str]) -> None:
        """Check plain calls that were reported as not run against their key.

        The key must not have an earlier success. If all of its calls were
        reported as not run, it must not have been executed.
        """
        calls_by_body: dict[str, list[SentRequest]] = defaultdict(list)
        for sent in self._sent_requests:
            if isinstance(sent.call, PlainCall):
                calls_by_body[sent.call.body.decode()].append(sent)
        for body, calls in calls_by_body.items():
            for sent in calls:
                if sent.outcome.execution == NOT_RUN and _succeeded_before(sent, calls):
                    self.result.false_not_run += 1
                    self.result.details.append(f"not run after an answer: {body}")
            all_refused = all(s.outcome.execution == NOT_RUN for s in calls)
            if all_refused and executions[body]:
                codes = [s.outcome.code for s in calls]
                self.result.false_not_run += 1
                self.result.details.append(f"refused {codes} but executed: {body}")

    async def _fetch_executions(self) -> Counter[str]:
        executions: Counter[str] = Counter()
        for server in self._stack.plan.servers:
            url = f"http://127.0.0.1:{server.port}/executions"
            executions.update((await self._stack.call("GET", url))["by_body"])
        return executions

    async def _fetch_prefills(self) -> Counter[int]:
        prefills: Counter[int] = Counter()
        for engine in self._stack.plan.engines:
            url = f"http://127.0.0.1:{engine.port}/counts"
            seeds = (await self._stack.call("GET", url))["prefill_seeds"]
            prefills.update({int(seed): count for seed, count in seeds.items()})
        return prefills


def _succeeded_before(sent: SentRequest, calls: Iterable[SentRequest]) -> bool:
    """Tell whether another call succeeded before this one was sent."""
    return any(
        other.outcome.kind == "ok" and other.outcome.ended_s <= sent.begin_s
        for other in calls
    )


def _build_ticket(number: int, writer: int) -> TicketModel:
    """Return a ticket whose object only this run uses."""
    state = {"version": f"{number}-{writer}"}
    item = ObjectModel.model_validate(
        {"kind": "model", "name": "torture", "state": state}
    )
    return TicketModel(number=number, author=f"writer-{writer}", objects=(item,))


async def run_torture(
    seed: int,
    seconds: float,
    hosts: int,
    log_level: str = "warning",
    only_faults: Collection[str] = (),
) -> TortureResult:
    """Start a stack, run the torture test against it and return the result.

    ``only_faults`` names the kinds of faults to inject; empty for all.
    """
    config = StackConfig.model_validate(
        {
            "hosts_per_firm": hosts,
            "prefill_engines": 2,
            "decode_engines": 3,
            "seed": seed,
            "log_level": log_level,
        }
    )
    async with running_stack(config) as stack:
        torture = _Torture(stack, seed, only_faults)
        await torture.run(seconds)
        return torture.result
