"""A stand-in for the platform's store: rows, transactions and feeds."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from .serving import Server

__all__ = ["Store"]

Row = dict[str, Any]


class Store(Server):
    """Rows with versions of one counter; nothing that it acknowledged is lost.

    ``loses_answer`` is asked after each transaction that was applied, with its
    body; if it returns true, the connection ends without an answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.history: list[Row] = []
        self.version = 0
        self.loses_answer: Callable[[dict[str, Any]], bool] = lambda body: False
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row, as the operator and the engines do."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.version += 1
        self._write({"table": table, "part": "", "key": key, "value": value})

    def drop(self, table: str, key: str) -> None:
        """Remove a row, as the platform does."""
        self.version += 1
        self._remove({"table": table, "part": "", "key": key})

    def document(self, table: str, key: str) -> Any:
        """Return what a row says, None if there is none."""
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row["value"]))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call."""
        match request.path:
            case "/api/rows-get":
                return self._get(request)
            case "/api/rows-feed":
                return await self._feed(request)
            case "/api/rows-tx":
                return self._transact(request, await request.json())
        return web.Response(status=404)

    def _get(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        first, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= first
            and (end is None or key < end)
        ]
        limit = int(query.get("limit", "500"))
        return self._answer(rows[:limit], more_pages=len(rows) > limit)

    async def _feed(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        after = int(query["after"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return self._answer(rows)
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(
        self, request: web.BaseRequest, body: dict[str, Any]
    ) -> web.StreamResponse:
        found = [
            self.rows.get((item["table"], item["part"], item["key"]))
            for item in body.get("expected_rev", ())
        ]
        for item, row in zip(body.get("expected_rev", ()), found, strict=True):
            if (row["ver"] if row else 0) != item["ver"]:
                rows = [row for row in found if row is not None]
                return web.json_response(
                    {"rows": rows, "ver": self.version, "now_ms": _now_ms()}, status=412
                )
        self.version += 1
        for row in body.get("writes", ()):
            self._write(row)
        for row in body.get("remove", ()):
            self._remove(row)
        if self.loses_answer(body) and request.transport is not None:
            request.transport.abort()
        return web.json_response({"ver": self.version, "now_ms": _now_ms()})

    def _write(self, row: Row) -> None:
        row = {**row, "ver": self.version}
        self.rows[row["table"], row["part"], row["key"]] = row
        self._record(row)

    def _remove(self, row: Row) -> None:
        known = self.rows.pop((row["table"], row["part"], row["key"]), None)
        if known is not None:
            self._record({**known, "value": "", "ver": self.version, "deleted": True})

    def _record(self, row: Row) -> None:
        self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, rows: list[Row], *, more_pages: bool = False) -> web.Response:
        return web.json_response(
            {
                "rows": rows,
                "more_pages": more_pages,
                "ver": self.version,
                "now_ms": _now_ms(),
            }
        )


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
