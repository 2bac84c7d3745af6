"""Figures that can be read but that nothing can have, by the protocol.

The store gives out versions from a single counter that only increases, so no
row has a later version than the answer that holds it, and no answer has an
earlier one than the answers before it.
"""

import asyncio
import base64
import json
from collections.abc import Iterator
from typing import Any

import pytest
from aiohttp import web

from kumquat_relay import poll_times, store_registration

from .fake_store import FakeStore, Row
from .odd_values import MAX_NUMBER
from .relay_harness import PLAIN, RelayHarness, configuration
from .test_odd_entries import LogLines, read_again, run_logged, state_of


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the pauses that spread the calls of a fleet."""
    monkeypatch.setattr(poll_times, "HOSTS_PAUSE_S", 0.05)
    monkeypatch.setattr(store_registration, "REWRITE_SPREAD_S", 0.05)


def changed_row(harness: RelayHarness, table: str, key: str) -> dict[str, Any]:
    """Return a row of the store as if it had been written much later."""
    return {**harness.store.rows[table, key], "ver": MAX_NUMBER}


class ServedRow(list[Any]):
    """A row that a store adds to its answers, and the number of these."""

    count = 0

    def __iter__(self) -> Iterator[Any]:
        self.count += 1
        return super().__iter__()


async def deliver(harness: RelayHarness, table: str, row: Any, way: str) -> None:
    """Let the hosts receive a row with changes, or when they read all."""
    store = harness.store
    served = ServedRow([row])
    added = store.rows_added if way == "read" else store.changes_added
    added[table] = served
    if way == "read":
        read_again(harness)
    while served.count < 2 * len(harness.hosts):
        if way == "changes":
            store.put(table, "another", {})
        elif served.count:
            read_again(harness)
        await asyncio.sleep(0.1)
    added.clear()


@pytest.mark.parametrize("way", ["read", "changes"])
@pytest.mark.parametrize("removed", [False, True])
def test_engine_is_followed_after_a_version_that_no_row_can_have(
    way: str, removed: bool
) -> None:
    """All later changes of the engine were taken for older ones."""

    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        engine = harness.backend_servers[0]
        row = changed_row(harness, "servers", engine.id)
        await deliver(harness, "servers", {**row, "deleted": removed}, way)
        harness.list_engine(engine)
        await harness.wait_until(lambda: len(list(state.registry.usable(PLAIN))) == 2)
        harness.list_engine(engine, "draining")
        await harness.wait_until(lambda: len(list(state.registry.usable(PLAIN))) == 1)
        harness.store.remove("servers", engine.id)
        await harness.wait_until(lambda: state.registry.get(engine.id) is None)

    run_logged(scenario)


@pytest.mark.parametrize("way", ["read", "changes"])
def test_host_is_followed_after_a_version_that_no_row_can_have(way: str) -> None:
    """All later changes of the host were taken for older ones."""

    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        await harness.wait_until(lambda: len(state.hosts_by_id) == 2)
        row = changed_row(harness, "relay_hosts", "h2")
        await deliver(harness, "relay_hosts", row, way)
        document = json.loads(base64.b64decode(row["value"]))
        harness.store.put("relay_hosts", "h2", document | {"incarnation": 7})
        await harness.wait_until(lambda: state.hosts_by_id["h2"].incarnation == 7)

    run_logged(scenario, host_count=2)


def test_configuration_row_of_a_later_version_than_its_answer_is_left_out() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        row = changed_row(harness, "op", "config")
        await deliver(harness, "op", row, "changes")
        harness.store.put("op", "config", configuration(4))
        await harness.wait_until(lambda: state.version == 4)

    run_logged(scenario)


class WrongVersion:
    """Lets a store state a version far beyond its counter for a while.

    The store answers polls after a later version than its own with nothing.
    """

    def __init__(self, store: FakeStore) -> None:
        self.stated = 0
        self.active = True
        self._store = store
        self._rows_response = store._rows_response
        store._rows_response = self._respond  # type: ignore[method-assign]
        self._feed = store._feed
        store._feed = self._feed_later  # type: ignore[method-assign]

    def _respond(self, rows: list[Row], *, more_pages: bool = False) -> web.Response:
        if not self.active:
            return self._rows_response(rows, more_pages=more_pages)
        version, self._store.version = self._store.version, MAX_NUMBER
        try:
            self.stated += 1
            return self._rows_response(rows, more_pages=more_pages)
        finally:
            self._store.version = version

    async def _feed_later(self, request: web.BaseRequest) -> web.StreamResponse:
        if int(request.query["after"]) > self._store.version:
            await asyncio.sleep(0.05)
            return self._respond([])
        return await self._feed(request)


@pytest.mark.parametrize("way", ["read", "changes"])
def test_hosts_follow_after_an_answer_with_an_impossible_version(way: str) -> None:
    """Each poll asked for what came after that version and got nothing. What
    had been missing in the answer was never listed again."""

    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        await harness.wait_until(lambda: len(state.hosts_by_id) == 2)
        engine = harness.backend_servers[0]
        removed = {
            key: harness.store.rows[key]
            for key in (("servers", engine.id), ("relay_hosts", "h2"))
        }
        wrong = WrongVersion(harness.store)
        for key in removed:
            harness.store.remove(*key)
        if way == "read":
            read_again(harness)
        else:
            harness.store.put("op", "config", configuration(4))
        await harness.wait_until(lambda: state.registry.get(engine.id) is None)
        await harness.wait_until(lambda: wrong.stated >= 6)
        wrong.active = False
        for row in removed.values():
            harness.store._write(row)
        await harness.wait_until(lambda: state.registry.get(engine.id) is not None)
        await harness.wait_until(lambda: "h2" in state.hosts_by_id)
        harness.store.put("op", "config", configuration(5))
        await harness.wait_until(lambda: state.version == 5)
        harness.list_engine(engine, "draining")
        await harness.wait_until(lambda: len(list(state.registry.usable(PLAIN))) == 1)

    run_logged(scenario, host_count=2)


@pytest.mark.parametrize("way", ["removed", "unreadable"])
def test_engine_is_used_after_an_entry_that_was_born_in_the_future(way: str) -> None:
    """All later entries were taken for those of an earlier incarnation."""

    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        registry = state_of(harness).registry
        engine = harness.backend_servers[0]
        document = {**engine.entry(PLAIN), "born": MAX_NUMBER}
        harness.store.put("servers", engine.id, document)
        await harness.wait_until(
            lambda: getattr(registry.get(engine.id), "born_ms", 0) == MAX_NUMBER
        )
        if way == "removed":
            harness.store.remove("servers", engine.id)
        else:
            harness.store.put_raw("servers", engine.id, b"{")
        await harness.wait_until(lambda: registry.get(engine.id) is None)
        harness.list_engine(engine)
        await harness.wait_until(lambda: registry.get(engine.id) is not None)
        assert len(list(registry.usable(PLAIN))) == 2

    run_logged(scenario)
