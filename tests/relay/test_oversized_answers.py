"""Answers of the store that do not end, or are larger than any should be.

A host read them whole, so that one answer could take all of its memory.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web
from kumquat_platform import store as platform_store
from kumquat_platform.store import PlatformStore

from kumquat_relay.protocols import OversizedAnswerError, StateKind

from .fake_store import FakeStore
from .relay_harness import RelayHarness, configuration, run_scenario
from .test_odd_entries import LogLines, state_of

MIB = 1024 * 1024
CHUNK = b" " * 65536
# An answer without a bound is read at least up to this.
ENDLESS_BYTES = 256 * MIB
LIMIT = platform_store.MAX_ANSWER_BYTES
# The answer, and buffers of the connections on both sides.
MAX_SENT_BYTES = LIMIT + 16 * MIB
# Far longer than anything takes beside other load.
LOADED_TIMEOUT_S = 30.0


class EndlessAnswers:
    """Lets a store answer calls to ``path`` with bytes that do not end.

    ``count`` is the number of such answers that are left.
    """

    def __init__(self, store: FakeStore, path: str, count: int) -> None:
        self.path = path
        self.count = count
        self.started = 0
        self.sent_bytes: list[int] = []
        self._answer = store._answer
        store._answer = self._handle  # type: ignore[method-assign]

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self.path or self.count <= 0:
            return await self._answer(request)
        self.count -= 1
        self.started += 1
        response = web.StreamResponse(headers={"Store-Era": "1"})
        await response.prepare(request)
        sent = 0
        try:
            while sent < ENDLESS_BYTES:
                await response.write(CHUNK)
                sent += len(CHUNK)
        finally:
            self.sent_bytes.append(sent)
        return response


def run_with_endless(
    path: str, call: Callable[[PlatformStore], Awaitable[object]]
) -> int:
    """Return how much of an endless answer the store could send."""

    async def main() -> int:
        fake = FakeStore()
        await fake.start()
        answers = EndlessAnswers(fake, path, 1)
        store = PlatformStore(fake.address)
        try:
            with pytest.raises(OversizedAnswerError):
                await call(store)
            async with asyncio.timeout(LOADED_TIMEOUT_S):
                while not answers.sent_bytes:
                    await asyncio.sleep(0.01)
        finally:
            await store.close()
            await fake.stop()
        return answers.sent_bytes[0]

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("path", "call"),
    [
        ("/api/rows-get", lambda store: store.read(StateKind.ENGINES)),
        ("/api/rows-get", lambda store: store.read_lease("roles")),
        ("/api/rows-tx", lambda store: store.acquire_lease("roles", "h1", 10, 0)),
    ],
    ids=["table", "row", "transaction"],
)
def test_an_endless_answer_is_read_up_to_its_limit(
    monkeypatch: pytest.MonkeyPatch,
    path: str,
    call: Callable[[PlatformStore], Awaitable[object]],
) -> None:
    # Long enough that the limit and not the time ends the call.
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 30.0)
    assert run_with_endless(path, call) <= MAX_SENT_BYTES


def test_a_watch_goes_on_after_endless_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(platform_store, "POLL_MARGIN_S", 30.0)
    # Less to read: the number of answers matters here.
    monkeypatch.setattr(platform_store, "MAX_ANSWER_BYTES", MIB)
    lines = LogLines()

    async def scenario(harness: RelayHarness) -> None:
        answers = EndlessAnswers(harness.store, "/api/rows-feed", 6)
        harness.store.abort_connections()
        async with asyncio.timeout(LOADED_TIMEOUT_S):
            while len(answers.sent_bytes) < 6:
                await asyncio.sleep(0.01)
        assert max(answers.sent_bytes) <= MAX_SENT_BYTES
        harness.store.put("op", "config", configuration(4))
        await harness.wait_until(lambda: state_of(harness).version == 4)
        assert await harness.request_status("once") == 200
        # Reads succeed between the endless answers; that ends no outage.
        kinds = [
            fields["kind"]
            for event, fields, _ in lines.events
            if event == "dependency_lost"
        ]
        assert len(kinds) == len(set(kinds)), kinds

    logging.getLogger().addHandler(lines)
    try:
        run_scenario(scenario)
    finally:
        logging.getLogger().removeHandler(lines)


def test_changes_that_are_too_large_for_one_answer_are_read_in_pages(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same changes would be too large again, so the watch stood still."""
    monkeypatch.setattr(platform_store, "MAX_ANSWER_BYTES", 200_000)

    async def scenario(harness: RelayHarness) -> None:
        state = state_of(harness)
        # The table itself is small: the same row changes again and again.
        harness.store.unavailable = True
        harness.store.abort_connections()
        for _ in range(40):
            harness.store.put_raw("servers", "odd", b"x" * 9000)
        harness.list_engine(harness.backend_servers[0], "draining")
        harness.store.unavailable = False
        await harness.wait_until(lambda: len(list(state.registry.usable("plain"))) == 1)

    run_scenario(scenario)
