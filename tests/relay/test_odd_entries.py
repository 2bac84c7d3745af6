"""Entries of another writer that end a host, or keep it from its list."""

import asyncio
import base64
import json
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from kumquat_core.log_events import FIELDS_ATTRIBUTE, KeyValueFormatter
from kumquat_core.peer_messages import PermitGrant, PermitRequest, RunsHeld
from kumquat_relay import poll_times, store_registration
from kumquat_relay.cluster_state import ClusterState
from kumquat_relay.send_permits import _PermitCache

from .odd_values import ODD_TEXTS, WHOLE_VALUES, field_paths, replace_field
from .relay_harness import LLM, PLAIN, RelayHarness, configuration, run_scenario

MAX_LINE_CHARACTERS = 800
# Well within the time in which a change of the configuration is to apply.
FOLLOWED_WITHIN_S = 1.0
REWRITTEN_WITHIN_S = 1.0
COUNTS = ("0", "65536", "70000")
# Fields of an engine's entry, and the odd texts that are valid there.
VALID_TEXTS: dict[str, tuple[str, ...]] = {
    "addr": (),
    "state": (),
    "stage": ("null",),
    "slots": COUNTS,
    "born": COUNTS,
    "seq": COUNTS,
}


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the pauses that spread the calls of a fleet."""
    monkeypatch.setattr(poll_times, "HOSTS_PAUSE_S", 0.1)
    monkeypatch.setattr(store_registration, "REWRITE_SPREAD_S", 0.1)


class LogLines(logging.Handler):
    """Collects the lines that hosts log, and the errors that nobody reads."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[str, dict[str, Any], str]] = []
        self.unread_errors: list[str] = []
        self.setFormatter(KeyValueFormatter())

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record)
        fields = getattr(record, FIELDS_ATTRIBUTE, {})
        self.events.append((record.getMessage(), fields, line))

    def lines(self, *events: str) -> list[str]:
        return [line for event, _, line in self.events if event in events]

    def on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        self.unread_errors.append(str(context))

    def check(self, host_count: int) -> None:
        """Check that nothing failed, and that each line is one short line.

        The lines of all hosts are collected here.
        """
        assert self.unread_errors == []
        failed = self.lines("service_failed", "watch_failed", "timer_callback_failed")
        assert failed == []
        for _, _, line in self.events:
            assert len(line) <= MAX_LINE_CHARACTERS and line.isprintable(), line[:2000]
        keys = Counter(
            (fields["kind"], fields["key"])
            for event, fields, _ in self.events
            if event == "entry_unreadable" and fields["kind"] != "configuration"
        )
        assert all(count <= host_count for count in keys.values()), keys.most_common(3)


def run_logged(
    scenario: Callable[[RelayHarness, LogLines], Awaitable[None]], host_count: int = 1
) -> None:
    """Run a scenario and check the lines that it logs."""
    lines = LogLines()
    logger = logging.getLogger()
    level = logger.level

    async def run(harness: RelayHarness) -> None:
        asyncio.get_running_loop().set_exception_handler(lines.on_loop_error)
        await scenario(harness, lines)

    logger.addHandler(lines)
    logger.setLevel(logging.INFO)
    try:
        run_scenario(run, host_count)
    finally:
        logger.removeHandler(lines)
        logger.setLevel(level)
    lines.check(host_count)


def state_of(harness: RelayHarness, number: int = 0) -> ClusterState:
    return harness.hosts[number]._parts.cluster_state


async def is_followed(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(FOLLOWED_WITHIN_S):
        while not condition():
            await asyncio.sleep(0.01)


async def check_follows(harness: RelayHarness, version: int) -> None:
    """Check that the host hears of a configuration and an engine in time."""
    state = state_of(harness)
    engine = harness.backend_servers[0]
    harness.store.put("op", "config", configuration(version))
    await is_followed(lambda: state.version == version)
    harness.list_engine(engine, "draining")
    await is_followed(lambda: len(list(state.registry.usable(PLAIN))) == 1)
    engine.born_ms += 1
    harness.list_engine(engine)
    await is_followed(lambda: len(list(state.registry.usable(PLAIN))) == 2)


def read_again(harness: RelayHarness) -> None:
    """Make the host read all tables from their start."""
    # A watch that has the last version does not miss the history.
    harness.store.put("another", "row", {})
    harness.store.truncate_history()
    harness.store.abort_connections()


def odd_engine_values(harness: RelayHarness) -> list[bytes]:
    """Return values that name no engine to use, for both kinds of service."""
    values = list(WHOLE_VALUES)
    for engine, service in (
        (harness.backend_servers[0], PLAIN),
        (harness.decode_engines[0], LLM),
    ):
        document = {"stage": "decode", **engine.entry(service)}
        for field, valid in VALID_TEXTS.items():
            texts = [text for text in ODD_TEXTS if text not in valid]
            values += [replace_field(document, (field,), text) for text in texts]
    return values


def test_requests_are_served_beside_odd_engine_entries() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        values = odd_engine_values(harness)
        known = {item.id for item in state_of(harness).registry.all_entries()}
        for _ in range(2):
            for number, value in enumerate(values):
                harness.store.put_raw("servers", f"odd{number}", value)
        await check_follows(harness, 4)
        listed = {item.id for item in state_of(harness).registry.all_entries()}
        assert listed == known
        statuses = Counter(
            [await harness.request_status(route) for route in ("once", "story") * 20]
        )
        assert statuses == {200: 40}
        assert len(lines.lines("entry_unreadable")) == len(values)
        read_again(harness)
        await check_follows(harness, 5)
        assert len(lines.lines("entry_unreadable")) == len(values)

    run_logged(scenario)


def test_hosts_are_followed_beside_odd_host_entries() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        await harness.wait_until(lambda: len(state.hosts_by_id) == 2)
        document = {
            "ip": "127.0.0.1",
            "peer_port": 7000,
            "failure_domain": "a",
            "incarnation": 1000,
        }
        texts = {
            "ip": (*ODD_TEXTS, '"999.1.1.1"', '"localhost"', '"::1"'),
            "peer_port": [text for text in ODD_TEXTS if text != "70000"] + ["70000"],
            "incarnation": [text for text in ODD_TEXTS if text not in COUNTS],
        }
        values = list(WHOLE_VALUES)
        for field, odd in texts.items():
            values += [replace_field(document, (field,), text) for text in odd]
        for number, value in enumerate(values):
            harness.store.put_raw("relay_hosts", f"odd{number}", value)
        harness.store.put("relay_hosts", "another", document)
        await is_followed(lambda: "another" in state.hosts_by_id)
        assert set(state.hosts_by_id) == {"h1", "h2", "another"}
        statuses = [
            await harness.request_status(route) for route in ("once", "story") * 5
        ]
        assert statuses == [200] * 10

    run_logged(scenario, host_count=2)


def test_odd_configuration_does_not_replace_the_one_in_force() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        odd = ["1e400", "NaN", "-1", "true", '"80"', "9" * 400, "9" * 5000]
        paths = [
            path
            for path in field_paths(configuration())
            if path[-1]
            in ("timeout_ms", "hold_ms", "slots", "max_conns", "max_attempts")
            or path[-1] in ("max_body_bytes", "version", "handle_ttl_s", "routes")
        ]
        values = list(WHOLE_VALUES) + [
            replace_field(configuration(90), path, text)
            for path in paths
            for text in odd
        ]
        for number, value in enumerate(values):
            harness.store.put_raw("op", "config", value)
            if number % 20 == 0:
                await asyncio.sleep(0.02)
        await check_follows(harness, 4)
        statuses = [
            await harness.request_status(route) for route in ("once", "story") * 5
        ]
        assert statuses == [200] * 10
        assert lines.lines("dependency_lost") == []

    run_logged(scenario)


def test_odd_rows_are_left_out() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        store = harness.store
        known = {item.id for item in state.registry.all_entries()}
        odd_rows: list[Any] = [
            None,
            7,
            [],
            {},
            {"key": 7, "ver": 3},
            {"key": "bad\r\nid", "ver": 3, "value": 7},
            {"key": "\ud800", "ver": 3, "value": "\ud800"},
            {"key": "bad1", "ver": "3"},
            {"key": "bad2", "ver": -1},
            {"key": "bad3", "ver": 10**400},
            {"key": "bad4", "ver": 1.5},
            {"key": "bad5", "ver": True},
            {"key": "bad6", "ver": 3, "value": "=%"},
            {"key": "bad7", "ver": 3, "value": [7]},
            {"key": "bad8" * 1000, "ver": 3},
        ]
        store.rows_added["servers"] = odd_rows
        read_again(harness)
        await check_follows(harness, 4)
        assert {item.id for item in state.registry.all_entries()} == known
        assert await harness.request_status("once") == 200
        # Rows without a key share one line.
        assert len(lines.lines("entry_unreadable")) == len(odd_rows) - 4

    run_logged(scenario)


def test_known_engine_that_turns_odd_is_not_used_until_it_can_be_read() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        registry = state_of(harness).registry
        engine = harness.backend_servers[0]
        document = engine.entry(PLAIN)
        for _ in range(3):
            value = replace_field(document, ("addr",), '"127.0.0.1:70000"')
            harness.store.put_raw("servers", engine.id, value)
        await is_followed(lambda: registry.get(engine.id) is None)
        assert {await harness.request_status() for _ in range(10)} == {200}
        assert engine.received == []
        harness.list_engine(engine)
        await is_followed(lambda: registry.get(engine.id) is not None)
        harness.list_engine(harness.backend_servers[1], "draining")
        await is_followed(lambda: len(list(registry.usable(PLAIN))) == 1)
        assert {await harness.request_status() for _ in range(10)} == {200}
        assert len(engine.received) == 10

    run_logged(scenario)


def test_engine_that_turns_odd_after_an_outage_is_removed_at_once() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        state.store_reconnected()
        harness.store.put_raw("servers", "plain0", b"{")
        await is_followed(lambda: state.registry.get("plain0") is None)
        assert not state.registry.has_deferred_removals()

    run_logged(scenario)


def test_known_host_that_turns_odd_is_kept_and_writes_its_entry_again() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        await harness.wait_until(lambda: len(state.hosts_by_id) == 2)
        before = dict(state.hosts_by_id)
        harness.store.written.clear()
        harness.store.put_raw("relay_hosts", "h2", b"[" * 10_000)
        await harness.wait_until(lambda: lines.lines("entry_unreadable") != [])
        assert state.hosts_by_id == before
        async with asyncio.timeout(REWRITTEN_WITHIN_S):
            while ("relay_hosts", "h2") not in harness.store.written:
                await asyncio.sleep(0.01)
        row = harness.store.rows["relay_hosts", "h2"]
        document = json.loads(base64.b64decode(row["value"]))
        assert document["peer_port"] == before["h2"].address.port
        assert state.hosts_by_id == before

    lines = LogLines()

    async def run(harness: RelayHarness) -> None:
        logging.getLogger().addHandler(lines)
        await scenario(harness, lines)

    try:
        run_scenario(run, host_count=2)
    finally:
        logging.getLogger().removeHandler(lines)


def test_odd_entries_are_counted() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        for number in range(3):
            harness.store.put_raw("servers", "odd", b"%d" % number)
        await check_follows(harness, 4)
        metrics = harness.host.metrics.text().decode()
        assert 'kumquat_relay_odd_entries_total{kind="engines"} 3.0' in metrics

    run_logged(scenario)


def test_an_error_within_a_watch_does_not_end_it() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        state = state_of(harness)
        changed = state.on_engines_changed
        failures = [RuntimeError("x" * 10_000)] * 5

        def fail() -> None:
            if failures:
                raise failures.pop()
            changed()

        state.on_engines_changed = fail
        harness.list_engine(harness.backend_servers[0], "draining")
        await harness.wait_until(lambda: not failures)
        await check_follows(harness, 4)
        assert len(lines.lines("watch_failed")) == 1
        lines.events = [item for item in lines.events if item[0] != "watch_failed"]

    run_logged(scenario)


def test_permits_of_an_owner_are_bounded() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        entry = state_of(harness).registry.get("plain0")
        assert entry is not None
        permits = harness.host._limits.permits
        for granted, wait_ms in ((2**53, 0), (0, 2**53)):

            async def reply(
                message: PermitRequest, granted: int = granted, wait_ms: int = wait_ms
            ) -> PermitGrant:
                return PermitGrant("plain0", granted, wait_ms)

            permits._call_owner = reply
            cache = _PermitCache()
            cache.waiting = 3
            await permits._fetch(entry, cache)
            assert len(cache.expiries_s) <= 3
            assert cache.refused_until_s <= asyncio.get_running_loop().time() + 61

    run_logged(scenario)


def test_registration_goes_on_after_an_unexpected_error() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        host = harness.new_host("h2")
        harness.hosts.append(host)
        registration = host._registration
        agree, failures = registration._use_key, [ValueError("x" * 10_000)] * 2

        async def fail(key: bytes) -> None:
            if failures:
                raise failures.pop()
            await agree(key)

        registration._use_key = fail
        await host.start()
        await harness.wait_until(lambda: ("relay_hosts", "h2") in harness.store.rows)
        assert len(lines.lines("registration_failed")) == 1

    run_logged(scenario)


def test_running_hosts_adopt_the_key_that_replaced_an_odd_one() -> None:
    async def scenario(harness: RelayHarness, lines: LogLines) -> None:
        for number in range(2):
            state = state_of(harness, number)
            await harness.wait_until(
                lambda state=state: len(state.hosts_by_id) == 2  # type: ignore[misc]
            )
        previous = harness.host._peer_key
        harness.store.put_raw("relay_secrets", "peer_key", b"odd")
        host = harness.new_host("h3")
        harness.hosts.append(host)
        await host.start()
        await harness.wait_until(lambda: "h3" in state_of(harness).hosts_by_id)
        await harness.wait_until(
            lambda: len({item._peer_key for item in harness.hosts}) == 1
        )
        assert harness.host._peer_key != previous
        for other in harness.hosts[:2]:
            await asyncio.sleep(0.2)
            await host._peer_links.call(other._options.host_id, RunsHeld(LLM), 1.0)

    run_logged(scenario, host_count=2)
