"""Rows of the store that cannot be read beside rows that can."""

import asyncio
import base64
import json
import logging
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st
from kumquat_platform.rows import parse_changes, parse_rows
from kumquat_platform.store import PlatformStore

from kumquat_core.log_events import FIELDS_ATTRIBUTE
from kumquat_relay.protocols import StateKind, StoreError
from kumquat_relay.store_registration import KEY_CHECK_PERIOD_S

from .odd_values import (
    ENGINE,
    MAX_NUMBER,
    ODD_TEXTS,
    WHOLE_VALUES,
    json_values,
    replace_field,
)
from .relay_harness import RelayHarness, run_scenario

deterministic = settings(derandomize=True, max_examples=100, deadline=None)


def encoded(document: Any) -> str:
    return base64.b64encode(json.dumps(document).encode()).decode()


GOOD_ROWS = [
    {"part": "", "key": key, "value": encoded(ENGINE), "ver": number}
    for number, key in enumerate(("a", "z"), 7)
]
odd_values = json_values | st.sampled_from(["\ud800", "====", "é", "AAAA", -1, 10**30])
rows = (
    st.dictionaries(
        st.sampled_from(["key", "value", "ver", "part", "deleted"]), odd_values
    )
    | json_values
)


@deterministic
@given(row=rows)
def test_good_rows_are_followed_beside_an_odd_one(row: Any) -> None:
    document = {"ver": 9, "store_era": 1}
    response = {"rows": [GOOD_ROWS[0], row, GOOD_ROWS[1]]}
    changes = parse_changes(StateKind.ENGINES, parse_rows(response), document)
    good = [item.key for item in changes.items if item.value is not None]
    assert [key for key in good if key in "az" and key] == ["a", "z"]
    for item in changes.items:
        assert 0 <= item.version.number <= MAX_NUMBER
        assert len(item.problem) <= 200 and item.problem.isprintable()


@deterministic
@given(version=odd_values)
def test_odd_version_of_a_response_is_a_store_error(version: Any) -> None:
    try:
        changes = parse_changes(
            StateKind.ENGINES, GOOD_ROWS, {"ver": version, "store_era": 1}
        )
    except StoreError:
        return
    assert 0 <= changes.version.number <= MAX_NUMBER


def test_hosts_agree_on_a_key_in_place_of_an_odd_one() -> None:
    async def main() -> None:
        for value in ("=%", "", "AAAA", 7, None, "é"):
            async with RelayHarness() as harness:
                row = {"table": "relay_secrets", "part": "", "key": "peer_key"}
                harness.store._write({**row, "value": value})
                host = harness.new_host("h2")
                harness.hosts.append(host)
                await host.start()
                await harness.wait_until(
                    lambda: ("relay_hosts", "h2") in harness.store.rows
                )
                row = harness.store.rows["relay_secrets", "peer_key"]
                assert base64.b64decode(row["value"]) == host._peer_key

    asyncio.run(main())


def test_odd_lease_is_one_of_unknown_end(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario(harness: RelayHarness) -> None:
        store = PlatformStore(harness.store.address)
        lease = {"holder": "h9", "used_until_ms": 5000}
        values = [
            *WHOLE_VALUES,
            *(
                replace_field(lease, ("used_until_ms",), text)
                for text in ODD_TEXTS
                if text not in ("0", "65536", "70000")
            ),
        ]
        for value in values:
            harness.store.put_raw("relay_leases", "odd", value)
            for _ in range(2):
                state = await store.read_lease("odd")
                assert (state.holder, state.used_until_ms) == ("", None)
        logged = [item for item in caplog.records if item.msg == "lease_unreadable"]
        assert len(logged) == len(values)
        for record in logged:
            assert len(str(getattr(record, FIELDS_ATTRIBUTE))) <= 400
        await store.close()

    caplog.set_level(logging.WARNING)
    run_scenario(scenario)


def test_odd_versions_do_not_reject_the_changes_beside_them() -> None:
    """A version that cannot be one looked like a row of an earlier poll, for
    which the whole answer was rejected: the watch stood still."""

    async def scenario(harness: RelayHarness) -> None:
        fake = harness.store
        store = PlatformStore(fake.address)
        try:
            seen = await store.read(StateKind.ENGINES)
            fake.changes_added["servers"] = [
                None,
                {"key": "bad1", "ver": -1},
                {"key": "bad2", "ver": True},
                {"key": "bad3", "ver": "3"},
                {"key": "bad4", "ver": 9**99, "table": 7},
            ]
            harness.list_engine(harness.backend_servers[0], "draining")
            changes = await store.wait_for_changes(StateKind.ENGINES, seen.version, 1.0)
            assert [item.key for item in changes.items if item.value] == ["plain0"]
        finally:
            await store.close()

    run_scenario(scenario)


@pytest.mark.parametrize("version", [-1, 10**400, 1.5, "3", None])
def test_known_key_whose_row_has_an_odd_version_is_odd(version: Any) -> None:
    """Its value was applied, or its last one kept, although it may be old."""

    async def scenario(harness: RelayHarness) -> None:
        state = harness.hosts[0]._parts.cluster_state
        await harness.wait_until(lambda: len(state.hosts_by_id) == 2)
        hosts, store = dict(state.hosts_by_id), harness.store
        for table, key in (("servers", "plain0"), ("relay_hosts", "h2")):
            store.changes_added[table] = [{**store.rows[table, key], "ver": version}]
            store.put(table, "another", {})
        await harness.wait_until(lambda: state.registry.get("plain0") is None)
        store.changes_added.clear()
        assert state.hosts_by_id == hosts
        harness.list_engine(harness.backend_servers[0])
        await harness.wait_until(lambda: state.registry.get("plain0") is not None)

    run_scenario(scenario, host_count=2)


@pytest.mark.parametrize("now_ms", [-1, 10**400, 1.5, "3", None, True])
def test_lease_answer_with_an_odd_time_fails(
    monkeypatch: pytest.MonkeyPatch, now_ms: Any
) -> None:
    """The end of a lease would be compared with a time that is none."""

    async def scenario(harness: RelayHarness) -> None:
        monkeypatch.setattr(harness.store, "_now_ms", lambda: now_ms)
        store = PlatformStore(harness.store.address)
        try:
            with pytest.raises(StoreError):
                await store.read_lease("roles")
        finally:
            await store.close()

    run_scenario(scenario)


def test_other_keys_of_peers_cause_few_calls() -> None:
    """Whoever connects to the peer port could cause calls to the store."""

    async def scenario(harness: RelayHarness) -> None:
        registration = harness.host._registration
        restarts: list[float] = []
        registration.restart = lambda: restarts.append(0.0)
        for _ in range(5):
            registration.check_key()
        assert len(restarts) == 1
        registration._key_check_due_s -= KEY_CHECK_PERIOD_S
        for _ in range(5):
            registration.check_key()
        assert len(restarts) == 2

    run_scenario(scenario)
