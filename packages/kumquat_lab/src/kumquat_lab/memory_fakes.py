"""In-memory fakes of the clients of the platform's services.

They behave as section 5 of the design page specifies; a fault occurs only
where a test injects it.
"""

import hashlib
from collections.abc import Sequence

from kumquat_core.object_client import StoredObject
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.table_client import Row, TransactResult, Write

__all__ = ["MemoryObjectStore", "MemoryTable"]


class MemoryTable:
    """A table service in memory; calls fail while ``available`` is False."""

    def __init__(self) -> None:
        self.available = True
        self.transactions = 0
        self._rows_by_key: dict[tuple[str, str], Row] = {}

    async def transact(self, writes: Sequence[Write]) -> TransactResult:
        """Apply all writes, or none when a condition fails."""
        self._check_available()
        return self.apply(writes)

    def apply(self, writes: Sequence[Write]) -> TransactResult:
        """Apply a transaction, also during an outage."""
        failed = tuple(
            index
            for index, write in enumerate(writes)
            if write.expect_version is not None
            and write.expect_version != self._version_of(write)
        )
        if failed:
            return TransactResult(failed=failed)
        self.transactions += 1
        versions = tuple(self._version_of(write) + 1 for write in writes)
        for write, version in zip(writes, versions, strict=True):
            row = Row(write.key, version, write.value)
            self._rows_by_key[(write.table, write.key)] = row
        return TransactResult(versions=versions)

    async def get(self, table: str, key: str) -> Row | None:
        """Return one row, or None."""
        self._check_available()
        return self.row(table, key)

    def row(self, table: str, key: str) -> Row | None:
        """Return one row, also during an outage."""
        return self._rows_by_key.get((table, key))

    async def scan(self, table: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows after a key, in key order."""
        self._check_available()
        keys = sorted(
            key for name, key in self._rows_by_key if name == table and key > after
        )
        return [self._rows_by_key[(table, key)] for key in keys[:limit]]

    def copy(self) -> dict[tuple[str, str], Row]:
        """Return a copy of all rows."""
        return dict(self._rows_by_key)

    def restore(self, rows: dict[tuple[str, str], Row]) -> None:
        """Come back from a copy; everything written since then is lost."""
        self._rows_by_key = dict(rows)

    def delete(self, table: str, key: str) -> None:
        """Remove a row, as log truncation does."""
        del self._rows_by_key[(table, key)]

    def _version_of(self, write: Write) -> int:
        row = self._rows_by_key.get((write.table, write.key))
        return 0 if row is None else row.version

    def _check_available(self) -> None:
        if not self.available:
            raise RouterError(ResultCode.STORE_UNAVAILABLE, "outage")


class MemoryObjectStore:
    """An object store in memory; calls fail while ``available`` is False."""

    def __init__(self) -> None:
        self.available = True
        self.contents_by_name: dict[str, bytes] = {}

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None."""
        self._check_available()
        content = self.contents_by_name.get(name)
        return None if content is None else StoredObject(content, _etag_of(content))

    async def put(self, name: str, content: bytes, if_match: str | None) -> bool:
        """Write an object if its entity tag matches; return whether it did."""
        self._check_available()
        current = self.contents_by_name.get(name)
        if (None if current is None else _etag_of(current)) != if_match:
            return False
        self.contents_by_name[name] = content
        return True

    def _check_available(self) -> None:
        if not self.available:
            raise RouterError(ResultCode.STORE_UNAVAILABLE, "object store outage")


def _etag_of(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()
