"""Errors of background tasks that nobody reads."""

import asyncio
import logging

import pytest

from kumquat_core.log_events import FIELDS_ATTRIBUTE
from kumquat_core.task_errors import log_task_error


def test_error_of_a_task_is_logged_in_one_short_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    unread = []

    async def fail() -> None:
        raise ValueError("x" * 100_000)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unread.append(context))
        failing, endless = loop.create_task(fail()), loop.create_task(asyncio.sleep(9))
        for task in (failing, endless):
            task.add_done_callback(log_task_error)
        await asyncio.sleep(0)
        endless.cancel()
        await asyncio.wait({failing, endless})

    caplog.set_level(logging.ERROR)
    asyncio.run(main())
    assert unread == []
    (record,) = caplog.records
    assert record.msg == "task_failed"
    assert len(str(getattr(record, FIELDS_ATTRIBUTE))) < 400
