"""Guards against emulated stores with wrong write conditions or row order."""

from typing import Any

from kumquat_lab.backend_server import BackendServerState
from kumquat_lab.platform import ObjectState, TableState


def write(key: str, expect_version: int | None, value: Any = None) -> dict[str, Any]:
    return {"table": "t", "key": key, "expect_version": expect_version, "value": value}


def test_transaction_with_one_failed_condition_changes_nothing():
    tables = TableState()
    tables.transact([write("a", 0, 1)])
    assert tables.transact([write("b", 0), write("a", 0, 2)]) == ([], [1])
    assert tables.get("t", "b") is None
    row = tables.get("t", "a")
    assert row is not None and (row.version, row.value) == (1, 1)


def test_version_rises_by_one_with_each_write():
    tables = TableState()
    for expected, version in ((0, 1), (1, 2), (None, 3)):
        assert tables.transact([write("a", expected)]) == ([version], [])
    assert tables.transact([write("a", 2)]) == ([], [0])


def test_scan_is_in_key_order_and_starts_after_the_key():
    tables = TableState()
    for key in ("c", "a", "b", "d"):
        tables.transact([write(key, 0)])
    assert [row["key"] for row in tables.scan("t", "a", 2)] == ["b", "c"]
    assert tables.scan("absent", "", 5) == []


def test_object_is_replaced_only_with_its_current_tag():
    objects = ObjectState()
    first = objects.put("o", b"1", None, True)
    assert first is not None
    assert objects.put("o", b"2", None, True) is None
    second = objects.put("o", b"2", first, False)
    assert objects.put("o", b"3", first, False) is None
    assert objects.get("o") == (b"2", second)


def test_server_that_checks_fences_refuses_a_stale_one():
    checking, ignoring = BackendServerState(True), BackendServerState(False)
    for state in (checking, ignoring):
        assert state.accept("k", 2)
        assert not state.raise_fence("k", 3)
    assert not checking.accept("k", 2)
    assert ignoring.accept("k", 2)
    checking.execute("k", b"body")
    assert checking.raise_fence("k", 4)
    assert checking.executions_by_body["body"] == 1


def test_tables_come_back_from_a_copy_with_their_older_versions():
    tables = TableState()
    tables.transact([write("a", 0, 1)])
    copy = tables.copy()
    tables.transact([write("a", 1, 2), write("b", 0, 1)])
    restored = copy.copy()
    row = restored.get("t", "a")
    assert row is not None and (row.version, row.value) == (1, 1)
    assert restored.get("t", "b") is None
    assert restored.transact([write("a", 1, 3)]) == ([2], [])
    assert copy.get("t", "a") == row
