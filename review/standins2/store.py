"""The platform's store, as far as an entry host uses it."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from http_io import Connection, Request, Server

JSON = {"Content-Type": "application/json"}
Row = dict[str, Any]


class Store:
    """Rows by table and key, with conditional writes and long polls."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.rows: dict[tuple[str, str], Row] = {}
        self.history: list[Row] = []
        self.version = 0
        self._changed = asyncio.Event()
        # Tables whose calls are refused, since their partitions are down.
        self.down: set[str] = set()
        # Writes of the hosts and of the servers so far.
        self.writes = 0
        # While set, removals get no answer and are done so many seconds later.
        self.late_removals_s: float | None = None
        self.note: Callable[[str], None] = lambda text: None

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a document as another writer, such as an engine."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.version += 1
        self._write({"table": table, "part": "", "key": key, "value": value})

    def beat(self, server_id: str) -> None:
        """Write the entry of a server with its next heartbeat.

        A heartbeat alone does not change the version of an entry.
        """
        if ("servers", server_id) in self.rows:
            self.writes += 1

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self._remove(table, key)

    def _write(self, row: Row) -> None:
        row = {**row, "ver": self.version}
        self.rows[row["table"], row["key"]] = row
        self._record(row)

    def _remove(self, table: str, key: str) -> None:
        row = self.rows.pop((table, key), None)
        if row is not None:
            self._record({**row, "value": "", "ver": self.version, "deleted": True})

    def _record(self, row: Row) -> None:
        self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, connection: Connection) -> None:
        query = dict(parse_qsl(urlsplit(request.target).query))
        if self.down & _tables_of(request, query):
            await connection.answer(503)
            return
        status, document = 404, {}
        match request.method, request.path:
            case "GET", "/api/rows-get":
                status, document = 200, self._get(query)
            case "GET", "/api/rows-feed":
                status, document = 200, await self._feed(query)
            case "POST", "/api/rows-tx":
                body = json.loads(request.body)
                self.writes += 1
                if body["remove"] and self.late_removals_s is not None:
                    self._remove_late(body, self.late_removals_s)
                    await connection.left.wait()
                    return
                status, document = self._transact(body)
        await connection.answer(status, JSON, json.dumps(document).encode())

    def _state(self, rows: list[Row]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self.version, "now_ms": now_ms}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"]
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        limit = int(query.get("limit", "500"))
        return {**self._state(rows[:limit]), "more_pages": len(rows) > limit}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        loop, after = asyncio.get_running_loop(), int(query["after"])
        end_s = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            rows = [
                row
                for row in self.history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            if rows or loop.time() >= end_s:
                return self._state(rows)
            try:
                async with asyncio.timeout_at(end_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _remove_late(self, body: dict[str, Any], delay_s: float) -> None:
        """Perform a call seconds later, whose caller gets no answer."""
        keys = ", ".join(row["key"] for row in body["remove"])
        self.note(f"store: the removal of {keys} gets no answer")

        def perform() -> None:
            self.note(f"store: the removal of {keys} is performed")
            self._transact(body)

        asyncio.get_running_loop().call_later(delay_s, perform)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for expected in body["expected_rev"]:
            row = self.rows.get((expected["table"], expected["key"]))
            if (row["ver"] if row else 0) != expected["ver"]:
                return 412, self._state([row] if row else [])
        self.version += 1
        for row in body["writes"]:
            self._write(row)
        for row in body["remove"]:
            self._remove(row["table"], row["key"])
        return 200, self._state([])


def _tables_of(request: Request, query: dict[str, str]) -> set[str]:
    """Return the tables that a call concerns."""
    if request.method == "GET":
        return {query.get("table", "")}
    body = json.loads(request.body)
    rows = [*body["expected_rev"], *body["writes"], *body["remove"]]
    return {row["table"] for row in rows}
