"""A fake of the platform's store with versioned rows and long polls."""

import asyncio
import base64
import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from .fake_server import FakeServer

__all__ = ["FakeStore", "Row", "StoreCopy"]

Row = dict[str, Any]


@dataclass(frozen=True)
class StoreCopy:
    """The rows, history and version of a store at one moment."""

    rows: dict[tuple[str, str], Row]
    history: list[Row]
    version: int


class FakeStore(FakeServer):
    """A fake of the platform's store: rows, transactions and feeds."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str], Row] = {}
        self.history: list[Row] = []
        self.version = 0
        self.oldest_version = 0
        self.unavailable = False
        # Number of transactions to apply without sending a response.
        self.drop_responses = 0
        # Applied to each row that hosts write, such as to change addresses.
        self.transform_write: Callable[[Row], Row] = lambda row: row
        self._changed = asyncio.Event()
        # Rises each time the store comes back from an older copy.
        self.era = 1
        # Number of long polls that wait for changes, by table.
        self.waiting_polls: Counter[str] = Counter()
        # Added to the rows of a table that is read whole, by table.
        self.rows_added: dict[str, list[Any]] = {}
        # Added to the changed rows that a poll of a table gets, by table.
        self.changes_added: dict[str, list[Any]] = {}
        # Keys of the rows that transactions have written, in order.
        self.written: list[tuple[str, str]] = []

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can come back."""
        return StoreCopy(dict(self.rows), list(self.history), self.version)

    def restore(self, copy: StoreCopy, away_s: float = 0.1) -> None:
        """Come back from a copy; everything written since then is lost.

        The store refuses calls for ``away_s`` seconds first.
        """
        if away_s > 0:
            self.unavailable = True
            loop = asyncio.get_running_loop()
            loop.call_later(away_s, setattr, self, "unavailable", False)
        self.rows, self.history = dict(copy.rows), list(copy.history)
        self.version = copy.version
        self.era += 1
        self.abort_connections()
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document: Any) -> None:
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write({"table": table, "part": "", "key": key, "value": value})

    def put_raw(self, table: str, key: str, value: bytes) -> None:
        text = base64.b64encode(value).decode()
        self._write({"table": table, "part": "", "key": key, "value": text})

    def remove(self, table: str, key: str) -> None:
        row = self.rows.pop((table, key), None)
        if row is None:
            return
        self.version += 1
        self._append_history({**row, "value": "", "ver": self.version, "deleted": True})

    def truncate_history(self) -> None:
        """Drop the history, so that feeds from older versions get 410."""
        self.history.clear()
        self.oldest_version = self.version

    def _write(self, row: Row) -> None:
        self.version += 1
        row = {**row, "ver": self.version}
        self.rows[row["table"], row["key"]] = row
        self._append_history(row)

    def _append_history(self, row: Row) -> None:
        self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        era = self.era
        response = await self._answer(request)
        response.headers["Store-Era"] = str(era)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.unavailable:
            return web.Response(status=503)
        match request.path:
            case "/api/rows-get":
                return self._get(request)
            case "/api/rows-feed":
                return await self._feed(request)
            case "/api/rows-tx":
                return self._transact(request, await request.json())
        return web.Response(status=404)

    def _rows_response(
        self, rows: list[Row], *, more_pages: bool = False
    ) -> web.Response:
        return web.json_response(
            {
                "rows": rows,
                "more_pages": more_pages,
                "ver": self.version,
                "now_ms": self._now_ms(),
            }
        )

    def _get(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"]
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        rows += self.rows_added.get(query["table"], ())
        limit = int(query.get("limit", len(rows)))
        return self._rows_response(rows[:limit], more_pages=len(rows) > limit)

    async def _feed(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        after, deadline_ms = int(query["after"]), int(query["wait_ms"])
        if after < self.oldest_version or after > self.version:
            return web.Response(status=410)
        end_s = asyncio.get_running_loop().time() + deadline_ms / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left_s = end_s - asyncio.get_running_loop().time()
            if rows or left_s <= 0 or self.unavailable:
                added = self.changes_added.get(query["table"], ()) if rows else ()
                return self._rows_response([*rows, *added])
            self.waiting_polls[query["table"]] += 1
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
            finally:
                self.waiting_polls[query["table"]] -= 1

    def _transact(self, request: web.BaseRequest, body: Any) -> web.Response:
        for expected in body["expected_rev"]:
            row = self.rows.get((expected["table"], expected["key"]))
            if (row["ver"] if row else 0) != expected["ver"]:
                return web.json_response({"rows": []}, status=412)
        for row in body["writes"]:
            self.written.append((row["table"], row["key"]))
            self._write(self.transform_write(row))
        for row in body["remove"]:
            self.remove(row["table"], row["key"])
        if self.drop_responses > 0:
            self.drop_responses -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"ver": self.version, "now_ms": self._now_ms()})

    def _now_ms(self) -> int:
        return int(time.monotonic() * 1000)
