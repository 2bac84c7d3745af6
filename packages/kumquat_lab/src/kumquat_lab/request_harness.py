"""Test harness for the guard of non-repeatable requests.

Several entry hosts run the real ``IdempotencyGuard`` against one table
service and one backend server, both in memory, in virtual time. Faults are
injected at named points of a host's work. The harness counts the executions
at the backend server and checks the result of every call against them.
"""

import asyncio
import hashlib
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from returns.result import Failure, Result, Success

from kumquat_core.backend_client import BackendRequest, BackendResponse
from kumquat_core.clock import ManualClock
from kumquat_core.idempotency import (
    IdempotencyGuard,
    IdempotentCall,
    RecordedOutcome,
    record_key,
)
from kumquat_core.request_ids import RequestIdGenerator
from kumquat_core.result_codes import Execution, ResultCode, RouterError
from kumquat_core.table_client import Row, TransactResult, Write

from .memory_fakes import MemoryTable
from .spec_requests import ABSENT, is_allowed_transition

__all__ = [
    "CallResult",
    "FakeBackend",
    "Fault",
    "FaultKind",
    "FakeHost",
    "RequestHarness",
]

TENANT = "hagestad"
SERVICE = "booking"
SERVER_URL = "http://backend-server"
INTENT_LEASE_S = 5.0
DEATH_DETECTION_S = 2.0
STORE_LATENCY_S = 0.002
SERVICE_TIME_S = 0.02
STORE_TIMEOUT_S = 1.0


class FaultKind(StrEnum):
    """Kinds of faults; the values name them in scenarios."""

    LOST_RESPONSE = "lost answer"
    LOST_REQUEST = "lost request"
    LATE_WRITE = "late write"
    OUTAGE = "outage"
    PAUSE_BEFORE = "pause before"
    PAUSE_AFTER = "pause after"
    CRASH_BEFORE = "crash before"
    CRASH_AFTER = "crash after"
    REFUSED = "refused connection"
    RESET = "reset connection"
    SLOW_RESPONSE = "slow answer"


@dataclass(frozen=True)
class Fault:
    """A fault that is injected when a host next reaches a point.

    Points are the record states that a write sets (``intent``,
    ``dispatched``, ...), ``read``, ``send`` and ``fence``.
    """

    kind: FaultKind
    point: str
    seconds: float = 0.0


@dataclass(frozen=True)
class CallResult:
    """The result that a caller received.

    ``runs_before`` is the number of executions of the key when the call
    started, ``runs_of_key`` that when the call returned.
    """

    request_id: str
    body: str
    key: str
    result: Result[RecordedOutcome, RouterError]
    runs_before: int
    runs_of_key: int

    @property
    def text(self) -> str:
        """Return the result code and whether the request was executed."""
        match self.result:
            case Success(outcome):
                return f"OK {outcome.status}"
            case Failure(error):
                return f"{error.code.name} {error.execution.value}"
        raise AssertionError("a result is a success or a failure")


@dataclass
class FakeBackend:
    """A backend server that counts executions and optionally checks fences."""

    checks_fencing: bool
    runs_by_key: Counter[str] = field(default_factory=Counter)
    runs_by_attempt: Counter[str] = field(default_factory=Counter)
    fences_by_key: dict[str, int] = field(default_factory=dict)

    def accept(self, request: BackendRequest, attempt: str) -> BackendResponse:
        """Run a request unless its fence is stale."""
        highest = self.fences_by_key.get(request.key, 0)
        if self.checks_fencing and request.fence < highest:
            return BackendResponse(412, "application/json", b"{}")
        self.fences_by_key[request.key] = max(highest, request.fence)
        self.runs_by_key[request.key] += 1
        self.runs_by_attempt[attempt] += 1
        response_text = f"{request.key}:{request.body.decode()}:{attempt}"
        return BackendResponse(200, "text/plain", response_text.encode())

    def raise_fence(self, key: str, fence: int) -> bool:
        """Raise the fence of a key; return whether the key was executed."""
        self.fences_by_key[key] = max(fence, self.fences_by_key.get(key, 0))
        return self.runs_by_key[key] > 0


class FakeHost:
    """An entry host, which is also its guard's table and backend client."""

    def __init__(
        self, harness: "RequestHarness", host_id: str, incarnation: int
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.faults: list[Fault] = []
        self.crashed = asyncio.Event()
        self.unresponsive_since_s: float | None = None
        self._harness = harness
        self._ids = RequestIdGenerator(host_id, incarnation)
        self.guard = IdempotencyGuard(
            self, self, harness.clock, harness.is_live, intent_lease_s=INTENT_LEASE_S
        )

    async def call(self, key: str, body: str, timeout_s: float) -> CallResult | None:
        """Call the service; return None if the host crashes before it ends."""
        call = IdempotentCall(
            tenant=TENANT,
            service=SERVICE,
            key=key,
            request_id=str(self._ids.next_id()),
            body_hash=hashlib.sha256(body.encode()).hexdigest(),
            deadline_s=self._harness.clock.monotonic() + timeout_s,
            server_url=SERVER_URL,
            checks_fencing=self._harness.backend.checks_fencing,
            first_attempt=self._harness.is_first_call(key),
        )
        backend_key = record_key(TENANT, SERVICE, key, call.request_id)

        runs_before = self._harness.backend.runs_by_key[backend_key]

        async def send(fence: int) -> BackendResponse:
            request = BackendRequest(
                "POST", "/book", body.encode(), {}, backend_key, fence
            )
            return await self._send(request, call.request_id)

        call_task = asyncio.ensure_future(self.guard.run(call, send))
        crashed_task = asyncio.ensure_future(self.crashed.wait())
        try:
            await asyncio.wait(
                {call_task, crashed_task}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            call_task.cancel()
            raise
        finally:
            crashed_task.cancel()
        if not call_task.done() or self.crashed.is_set():
            call_task.cancel()
            return None
        runs = self._harness.backend.runs_by_key[backend_key]
        result = call_task.result()
        call_result = CallResult(
            call.request_id, body, backend_key, result, runs_before, runs
        )
        self._harness.call_results.append(call_result)
        return call_result

    # The table client.

    async def transact(self, writes: Sequence[Write]) -> TransactResult:
        """Apply all writes, with the faults injected at this host."""
        faults = self._take_faults(str(writes[0].value["state"]))
        await self._apply_faults_before(faults)
        await self._call_store(faults)
        if FaultKind.LATE_WRITE in faults:
            seconds = faults[FaultKind.LATE_WRITE].seconds
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, self._harness.table.apply, list(writes))
            await self._raise_timeout(STORE_TIMEOUT_S)
        result = self._harness.table.apply(writes)
        await self._apply_faults_after(faults)
        if FaultKind.LOST_RESPONSE in faults:
            await self._raise_timeout(STORE_TIMEOUT_S)
        return result

    async def get(self, table: str, key: str) -> Row | None:
        """Return one row, with the faults injected at this host."""
        faults = self._take_faults("read")
        await self._apply_faults_before(faults)
        await self._call_store(faults)
        if FaultKind.LOST_RESPONSE in faults:
            await self._raise_timeout(STORE_TIMEOUT_S)
        row = self._harness.table.row(table, key)
        await self._apply_faults_after(faults)
        return row

    async def scan(self, table: str, after: str, limit: int) -> list[Row]:
        """Return rows; the guard does not use scans."""
        return await self._harness.table.scan(table, after, limit)

    # The backend client.

    async def send(
        self, url: str, request: BackendRequest, timeout_s: float
    ) -> BackendResponse:
        """Not used: calls go through ``call``."""
        raise NotImplementedError

    async def raise_fence(self, url: str, key: str, fence: int) -> bool:
        """Raise the fence of a key, with the faults injected at this host."""
        faults = self._take_faults("fence")
        await self._apply_faults_before(faults)
        if FaultKind.LOST_REQUEST in faults:
            raise RouterError(ResultCode.OUTCOME_UNKNOWN, "fence call failed")
        seen = self._harness.backend.raise_fence(key, fence)
        await self._apply_faults_after(faults)
        if FaultKind.LOST_RESPONSE in faults:
            raise RouterError(ResultCode.OUTCOME_UNKNOWN, "fence answer lost")
        return seen

    async def _send(self, request: BackendRequest, attempt: str) -> BackendResponse:
        faults = self._take_faults("send")
        await self._apply_faults_before(faults)
        if FaultKind.REFUSED in faults:
            raise RouterError(ResultCode.BACKEND_UNREACHABLE, "connection refused")
        if FaultKind.LOST_REQUEST in faults:
            raise RouterError(ResultCode.OUTCOME_UNKNOWN, "connection reset")
        response = self._harness.backend.accept(request, attempt)
        await asyncio.sleep(SERVICE_TIME_S)
        if FaultKind.SLOW_RESPONSE in faults:
            await asyncio.sleep(faults[FaultKind.SLOW_RESPONSE].seconds)
        await self._apply_faults_after(faults)
        if FaultKind.RESET in faults or FaultKind.LOST_RESPONSE in faults:
            raise RouterError(ResultCode.OUTCOME_UNKNOWN, "connection reset")
        return response

    # Faults.

    def _take_faults(self, point: str) -> dict[FaultKind, Fault]:
        """Remove and return the faults of a point."""
        taken = {item.kind: item for item in self.faults if item.point == point}
        self.faults = [item for item in self.faults if item.point != point]
        return taken

    async def _apply_faults_before(self, faults: dict[FaultKind, Fault]) -> None:
        if FaultKind.CRASH_BEFORE in faults:
            self.crash()
        if FaultKind.PAUSE_BEFORE in faults:
            await self._pause(faults[FaultKind.PAUSE_BEFORE].seconds)
        await self._stop_if_crashed()

    async def _apply_faults_after(self, faults: dict[FaultKind, Fault]) -> None:
        if FaultKind.CRASH_AFTER in faults:
            self.crash()
        if FaultKind.PAUSE_AFTER in faults:
            await self._pause(faults[FaultKind.PAUSE_AFTER].seconds)
        await self._stop_if_crashed()

    async def _call_store(self, faults: dict[FaultKind, Fault]) -> None:
        await asyncio.sleep(STORE_LATENCY_S)
        if FaultKind.OUTAGE in faults:
            self._harness.start_outage(faults[FaultKind.OUTAGE].seconds)
        if FaultKind.LOST_REQUEST in faults or not self._harness.table.available:
            await self._raise_timeout(STORE_TIMEOUT_S)

    async def _raise_timeout(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._stop_if_crashed()
        raise RouterError(ResultCode.STORE_UNAVAILABLE, "no answer")

    async def _pause(self, seconds: float) -> None:
        self.unresponsive_since_s = self._harness.clock.monotonic()
        await asyncio.sleep(seconds)
        if not self.crashed.is_set():
            self.unresponsive_since_s = None

    def crash(self) -> None:
        """Crash the process: no task of this host makes further progress."""
        self.unresponsive_since_s = self._harness.clock.monotonic()
        self.crashed.set()

    async def _stop_if_crashed(self) -> None:
        """Block forever after a crash."""
        if self.crashed.is_set():
            await asyncio.get_running_loop().create_future()


class TransitionCheckingTable(MemoryTable):
    """A table service that records forbidden state transitions."""

    def __init__(self) -> None:
        super().__init__()
        self.illegal_transitions: list[str] = []

    def apply(self, writes: Sequence[Write]) -> TransactResult:
        """Apply a transaction and check the transitions of its records."""
        rows = [self.row(write.table, write.key) for write in writes]
        result = super().apply(writes)
        if result.committed:
            for row, write in zip(rows, writes, strict=True):
                self._check_transition({} if row is None else row.value, write.value)
        return result

    def _check_transition(self, before: dict[str, Any], after: dict[str, Any]) -> None:
        state = before.get("state", ABSENT)
        raised_fence = after["fence"] - before.get("fence", 0)
        if not is_allowed_transition(state, after["state"], raised_fence):
            transition = f"{state} -> {after['state']}, fence raised by {raised_fence}"
            self.illegal_transitions.append(transition)


class RequestHarness:
    """Hosts, table service and backend server, with checks of all results."""

    def __init__(self, clock: ManualClock, *, checks_fencing: bool) -> None:
        self.clock = clock
        self.table = TransitionCheckingTable()
        self.backend = FakeBackend(checks_fencing)
        self.hosts_by_id: dict[str, FakeHost] = {}
        self.call_results: list[CallResult] = []
        self._called_keys: set[str] = set()

    def host(self, host_id: str) -> FakeHost:
        """Return a host; start it if it does not exist yet."""
        if host_id not in self.hosts_by_id:
            self.restart(host_id)
        return self.hosts_by_id[host_id]

    def restart(self, host_id: str) -> FakeHost:
        """Start a host, or crash it and start its next incarnation."""
        current = self.hosts_by_id.get(host_id)
        incarnation = 1 if current is None else current.incarnation + 1
        if current is not None:
            current.crash()
        self.hosts_by_id[host_id] = FakeHost(self, host_id, incarnation)
        return self.hosts_by_id[host_id]

    def is_live(self, host_id: str, incarnation: int) -> bool:
        """Tell whether membership lists a process as live.

        An unresponsive process is declared dead after a delay.
        """
        host = self.hosts_by_id.get(host_id)
        if host is None or host.incarnation != incarnation:
            return False
        if host.unresponsive_since_s is None:
            return True
        return self.clock.monotonic() - host.unresponsive_since_s < DEATH_DETECTION_S

    def start_outage(self, seconds: float) -> None:
        """Make the table service unavailable for a duration."""
        self.table.available = False
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, setattr, self.table, "available", True)

    async def drain_guards(self) -> None:
        """Wait until the guards of the live hosts have no background work."""
        for host in self.hosts_by_id.values():
            if not host.crashed.is_set():
                await host.guard.drain(limit_s=600.0)

    def recorded_state(self, key: str) -> str:
        """Return the state of the record of a caller's key."""
        row = self.table.row("requests", record_key(TENANT, SERVICE, key, ""))
        return "absent" if row is None else str(row.value["state"])

    def is_first_call(self, key: str) -> bool:
        """Tell whether this is the first use of a key, and record the use."""
        is_first = key not in self._called_keys
        self._called_keys.add(key)
        return is_first

    def violations(self) -> list[str]:
        """Return all violated invariants; call it after ``drain_guards``."""
        violations_found = [
            f"{key} ran {count} times"
            for key, count in self.backend.runs_by_key.items()
            if count > 1
        ]
        violations_found += self.table.illegal_transitions
        for call_result in self.call_results:
            violations_found += self._violations_of_result(call_result)
        return violations_found

    def _violations_of_result(self, call_result: CallResult) -> list[str]:
        match call_result.result:
            case Success(outcome):
                expected = f"{call_result.key}:{call_result.body}:{outcome.attempt}"
                if outcome.body.decode() != expected:
                    return [f"{call_result.request_id} received {outcome.body!r}"]
                if self.backend.runs_by_attempt[outcome.attempt] != 1:
                    return [f"{call_result.request_id} received an unexecuted response"]
            case Failure(error):
                return self._violations_of_refusal(call_result, error)
        return []

    def _violations_of_refusal(
        self, call_result: CallResult, error: RouterError
    ) -> list[str]:
        if error.code is ResultCode.INTERNAL_ERROR:
            return [f"{call_result.request_id} failed with {error}"]
        if error.execution is not Execution.NOT_RUN:
            return []
        if self.backend.runs_by_attempt[call_result.request_id]:
            return [
                f"{call_result.request_id} ran although refused as {call_result.text}"
            ]
        # A reused key has another body: another request ran under it. A call
        # that overlaps another one may be refused while that one runs, unless
        # the refusal follows a read of the record.
        is_key_reused = error.code is ResultCode.IDEMPOTENCY_KEY_REUSED
        has_read = error.code is ResultCode.CONFLICTING_ATTEMPT
        runs = call_result.runs_of_key if has_read else call_result.runs_before
        if runs and not is_key_reused:
            return [f"{call_result.key} had run when refused as {call_result.text}"]
        return []
