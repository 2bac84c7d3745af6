"""The interface of the platform's table service and its HTTP client.

Every failure to get a response raises ``STORE_UNAVAILABLE``. After such a
failure a write may still have taken effect; the caller must read it back.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar
from urllib.parse import quote

import aiohttp
from pydantic import BaseModel, ConfigDict, ValidationError

from .http_client import request_json
from .message_fields import Whole
from .result_codes import ResultCode, RouterError

__all__ = ["ABSENT", "HttpTableClient", "Row", "TableClient", "TransactResult", "Write"]

ABSENT = 0


@dataclass(frozen=True)
class Write:
    """A conditional write of one row.

    ``expect_version`` 0 requires that the key is absent; None writes
    unconditionally.
    """

    table: str
    key: str
    expect_version: int | None
    value: dict[str, Any]


@dataclass(frozen=True)
class Row:
    """A value with its version, which each write increments by one."""

    key: str
    version: int
    value: dict[str, Any]


class _Answer(BaseModel):
    """Base of the answers of the table service."""

    model_config = ConfigDict(strict=True)


class _RowAnswer(_Answer):
    version: Whole
    value: dict[str, Any]


class _KeyedRow(_RowAnswer):
    key: str


class _ScanAnswer(_Answer):
    rows: list[_KeyedRow]


class _CommittedAnswer(_Answer):
    versions: list[Whole]


class _FailedAnswer(_Answer):
    failed: list[Whole]


AnswerT = TypeVar("AnswerT", bound=_Answer)


@dataclass(frozen=True)
class TransactResult:
    """New versions of all writes, or the indexes of failed conditions."""

    versions: tuple[int, ...] = ()
    failed: tuple[int, ...] = ()

    @property
    def committed(self) -> bool:
        """Return whether all writes took effect."""
        return not self.failed


class TableClient(Protocol):
    """Operations of the table service that the router uses."""

    async def transact(self, writes: Sequence[Write]) -> TransactResult:
        """Apply all writes, or none when a condition fails."""

    async def get(self, table: str, key: str) -> Row | None:
        """Return one row, or None."""

    async def scan(self, table: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows after a key, in key order."""


class HttpTableClient:
    """Client of the table service over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s

    async def transact(self, writes: Sequence[Write]) -> TransactResult:
        """Apply all writes, or none when a condition fails."""
        body = {
            "writes": [
                {
                    "table": write.table,
                    "key": write.key,
                    "expect_version": write.expect_version,
                    "value": write.value,
                }
                for write in writes
            ]
        }
        status, document = await self._request("POST", "/tables/transact", body)
        if status == 409:
            return TransactResult(failed=tuple(_parse(_FailedAnswer, document).failed))
        _check_status(status)
        versions = _parse(_CommittedAnswer, document).versions
        return TransactResult(versions=tuple(versions))

    async def get(self, table: str, key: str) -> Row | None:
        """Return one row, or None."""
        path = f"/tables/{quote(table, safe='')}/{quote(key, safe='')}"
        status, document = await self._request("GET", path, None)
        if status == 404:
            return None
        _check_status(status)
        row = _parse(_RowAnswer, document)
        return Row(key, row.version, row.value)

    async def scan(self, table: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows after a key, in key order."""
        path = (
            f"/tables/{quote(table, safe='')}"
            f"?after={quote(after, safe='')}&limit={limit}"
        )
        status, document = await self._request("GET", path, None)
        _check_status(status)
        rows = _parse(_ScanAnswer, document).rows
        return [Row(item.key, item.version, item.value) for item in rows]

    async def _request(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        return await request_json(
            self._session,
            method,
            self._base_url + path,
            body=body,
            timeout_s=self._timeout_s,
            error_code=ResultCode.STORE_UNAVAILABLE,
        )


def _parse(model: type[AnswerT], document: Any) -> AnswerT:
    """Validate an answer; raises ``STORE_UNAVAILABLE`` for an odd one."""
    try:
        return model.model_validate(document)
    except ValidationError as error:
        detail = f"table service answered {error.error_count()} odd fields"
        raise RouterError(ResultCode.STORE_UNAVAILABLE, detail) from error


def _check_status(status: int) -> None:
    if status != 200:
        detail = f"table service answered status {status}"
        raise RouterError(ResultCode.STORE_UNAVAILABLE, detail)
