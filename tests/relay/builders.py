"""Builds engines, requests and queues for the tests of the relay."""

from kumquat_core.clock import ManualClock
from kumquat_core.peer_messages import RunRequest
from kumquat_core.settings import Address
from kumquat_relay.engine_health import EngineHealth
from kumquat_relay.engine_registry import EngineEntry, EngineRegistry, EngineRole
from kumquat_relay.queue_types import Decision, Granted, QueueParameters, Refused
from kumquat_relay.retry_schedule import RetrySchedule
from kumquat_relay.routes import EngineSpec
from kumquat_relay.service_performance import ServicePerformance
from kumquat_relay.store_version import StoreVersion
from kumquat_relay.stream_queue import StreamQueue

SERVICE = "advice"
SPEC = EngineSpec(
    slots=12,
    memory_tokens=144_611,
    tokens_per_event=89,
    handle_ttl_s=0.5,
    role_change_s=6.0,
    reservation_ttl_ms=2000,
)


def engine(
    engine_id: str, role: EngineRole | None = EngineRole.DECODE, *, slots: int = 12
) -> EngineEntry:
    return EngineEntry(
        engine_id, SERVICE, Address("10.0.0.1", 80), "a", slots, False, role
    )


def run_request(
    request_id: str,
    *,
    prompt: int = 5000,
    output: int = 5500,
    objective_ms: int = 900,
    patience_ms: int = 3600,
    left_ms: int = 14_000,
    priority: int = 1,
) -> RunRequest:
    return RunRequest(
        request_id,
        SERVICE,
        prompt,
        output,
        priority,
        objective_ms,
        patience_ms,
        left_ms,
    )


def slow_performance() -> ServicePerformance:
    """Return estimates for engines that generate a token in 3.5 ms."""
    performance = ServicePerformance()
    performance.token_ms.observe(3.5)
    performance.prefill_tokens_per_ms.observe(50.0)
    performance.local_prefill_tokens_per_ms.observe(25.0)
    return performance


class QueueHarness:
    """A queue with its engine registry and a clock controlled by the test."""

    def __init__(
        self,
        decode_engines: int = 1,
        prefill_engines: int = 1,
        *,
        slots: int = 12,
        spec: EngineSpec = SPEC,
        parameters: QueueParameters | None = None,
    ) -> None:
        self.clock = ManualClock(100.0)
        self.registry = EngineRegistry()
        self.health = EngineHealth(self.clock)
        for index in range(decode_engines):
            self.registry.put(
                engine(f"d{index}", slots=slots), StoreVersion(1, index + 1)
            )
        for index in range(prefill_engines):
            entry = engine(f"p{index}", EngineRole.PREFILL, slots=slots)
            self.registry.put(entry, StoreVersion(1, 100 + index))
        self.spec = spec
        self.queue = StreamQueue(
            SERVICE,
            self.registry,
            self.health,
            RetrySchedule(
                spread_retries=parameters is None or parameters.rules.return_times
            ),
            parameters,
        )
        self.queue.ledger.refresh(spec)

    @property
    def now_s(self) -> float:
        return self.clock.monotonic()

    def add(self, request: RunRequest, host_id: str = "h") -> list[Decision]:
        return self.queue.add(request, host_id, self.now_s)

    def finish_prefill(self, request_id: str) -> list[Decision]:
        self.queue.ledger.record_prefill(request_id, 100.0, self.now_s)
        return self.queue.advance(self.now_s)

    def end(self, request_id: str) -> list[Decision]:
        self.queue.ended(request_id, 50.0, self.now_s)
        return self.queue.advance(self.now_s)

    def fill(self, count: int) -> None:
        for index in range(count):
            request = run_request(f"full{index}", objective_ms=10_000)
            assert granted(self.add(request)) == [f"full{index}"]
            self.finish_prefill(f"full{index}")


def granted(decisions: list[Decision]) -> list[str]:
    return [item.request_id for item in decisions if isinstance(item, Granted)]


def refused(decisions: list[Decision]) -> dict[str, str]:
    return {
        item.request_id: item.reason for item in decisions if isinstance(item, Refused)
    }
