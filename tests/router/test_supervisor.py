"""Services that fail, and are started again too late."""

import asyncio
import logging

import pytest

from kumquat_core.log_events import FIELDS_ATTRIBUTE
from kumquatrouter import supervisor
from kumquatrouter.supervisor import TaskService


class FailingService(TaskService):
    """Fails after each of some durations."""

    def __init__(self, durations_s: list[float]) -> None:
        super().__init__()
        self.durations_s = durations_s

    async def run(self) -> None:
        if self.durations_s:
            await asyncio.sleep(self.durations_s.pop(0))
            raise RuntimeError


def test_restart_delay_begins_anew_after_a_service_has_worked(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(supervisor, "RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(supervisor, "MAX_RESTART_DELAY_S", 0.04)

    async def main() -> None:
        service = FailingService([0, 0, 0, 0, 0.1, 0])
        await service._run_with_restarts()

    caplog.set_level(logging.ERROR)
    asyncio.run(main())
    delays_s = [
        getattr(item, FIELDS_ATTRIBUTE)["restart_in_s"] for item in caplog.records
    ]
    assert delays_s == [0.01, 0.02, 0.04, 0.04, 0.01, 0.02]
