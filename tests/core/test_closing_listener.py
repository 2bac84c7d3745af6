"""Tests of a listener that is closed while the kernel holds connections."""

import asyncio
import errno
import logging

import pytest

from kumquat_core import closing_listener
from kumquat_core.closing_listener import close_listener


class _NoDescriptorsListener:
    """A listener of a process that cannot have another descriptor."""

    def __enter__(self) -> "_NoDescriptorsListener":
        return self

    def __exit__(self, *_: object) -> None:
        pass

    def accept(self) -> None:
        raise OSError(errno.EMFILE, "too many open files")


def test_connections_that_cannot_be_accepted_are_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against callers that are cut without a line in the log."""

    async def run() -> int:
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        return await close_listener(server, asyncio.Protocol)

    monkeypatch.setattr(
        closing_listener, "_duplicate", lambda _: _NoDescriptorsListener()
    )
    with caplog.at_level(logging.WARNING):
        assert asyncio.run(run()) == 0
    assert [record.getMessage() for record in caplog.records] == [
        "held_connections_lost"
    ]
