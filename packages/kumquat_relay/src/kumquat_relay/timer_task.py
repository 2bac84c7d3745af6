"""The timer service as a supervised task."""

from kumquat_core.timers import TimerService
from kumquatrouter.supervisor import TaskService

__all__ = ["TimerTask"]


class TimerTask(TaskService):
    """Runs the timer service as a supervised task."""

    def __init__(self, timers: TimerService) -> None:
        super().__init__()
        self._timers = timers

    async def run(self) -> None:
        """Run the timers until cancelled."""
        await self._timers.run()
