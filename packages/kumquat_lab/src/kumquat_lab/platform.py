"""Emulated platform: table service, object store, host list, weight store.

All four share one port. Faults for the table service and the object store:
``outage`` (status 503, nothing takes effect), ``delay_ms`` before the call,
and ``lose_answers`` (number of writes whose response is lost after they took
effect). An outage set by ``outage_s`` ends after that time. ``keep_copy``
keeps a copy of the tables, and ``restore_copy`` lets them come back from it.
``stutter`` makes the platform write copies of responses.
"""

import asyncio
import random
import time
from bisect import bisect_right, insort
from dataclasses import dataclass
from typing import Any

import xxhash
from aiohttp import web
from pydantic import BaseModel, ConfigDict

from .serving import Handler, error_middleware, return_call_id, serve_app
from .stutter import CopyKind, Stutter

__all__ = [
    "ObjectState",
    "PlatformConfig",
    "TableState",
    "platform_app",
    "run_platform",
]

WEIGHT_CHUNK_BYTES = 65536
MAX_SCAN_ROWS = 1000
STORE_PREFIXES = ("/tables", "/objects")


class PlatformConfig(BaseModel):
    """Settings of the emulated platform."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    port: int
    host_list_lag_s: float = 1.0
    weight_bytes: int = 20_000_000
    weight_bytes_per_s: float = 20_000_000.0


@dataclass
class _Row:
    version: int
    value: Any


class TableState:
    """Versioned rows; a transaction takes effect completely or not at all."""

    def __init__(self) -> None:
        self._rows_by_key: dict[str, dict[str, _Row]] = {}
        self._keys_by_table: dict[str, list[str]] = {}
        self.writes = 0

    def transact(self, writes: list[dict[str, Any]]) -> tuple[list[int], list[int]]:
        """Return the new versions, or the indexes of failed conditions."""
        failed = [
            index
            for index, write in enumerate(writes)
            if not self._condition_holds(write)
        ]
        if failed:
            return [], failed
        return [self._write(write) for write in writes], []

    def copy(self) -> "TableState":
        """Return a copy of all rows."""
        state = TableState()
        state._rows_by_key = {
            table: dict(rows) for table, rows in self._rows_by_key.items()
        }
        state._keys_by_table = {
            table: list(keys) for table, keys in self._keys_by_table.items()
        }
        state.writes = self.writes
        return state

    def get(self, table: str, key: str) -> _Row | None:
        """Return one row, or None."""
        return self._rows_by_key.get(table, {}).get(key)

    def scan(self, table: str, after: str, limit: int) -> list[dict[str, Any]]:
        """Return rows after a key, in key order."""
        keys = self._keys_by_table.get(table, [])
        start = bisect_right(keys, after)
        rows = self._rows_by_key.get(table, {})
        return [
            {"key": key, "version": rows[key].version, "value": rows[key].value}
            for key in keys[start : start + limit]
        ]

    def _condition_holds(self, write: dict[str, Any]) -> bool:
        expected = write["expect_version"]
        row = self.get(write["table"], write["key"])
        return expected is None or expected == (row.version if row else 0)

    def _write(self, write: dict[str, Any]) -> int:
        table, key = write["table"], write["key"]
        rows = self._rows_by_key.setdefault(table, {})
        row = rows.get(key)
        if row is None:
            insort(self._keys_by_table.setdefault(table, []), key)
        version = (row.version if row else 0) + 1
        rows[key] = _Row(version, write["value"])
        self.writes += 1
        return version


class ObjectState:
    """Objects with entity tags and conditional writes."""

    def __init__(self) -> None:
        self._objects_by_name: dict[str, tuple[bytes, str]] = {}
        self._count = 0

    def get(self, name: str) -> tuple[bytes, str] | None:
        """Return content and entity tag, or None."""
        return self._objects_by_name.get(name)

    def put(
        self, name: str, content: bytes, if_match: str | None, if_absent: bool
    ) -> str | None:
        """Write an object; return its new tag, or None when refused."""
        current = self._objects_by_name.get(name)
        if if_absent and current is not None:
            return None
        if if_match is not None and (current is None or current[1] != if_match):
            return None
        self._count += 1
        tag = f'"{self._count}-{xxhash.xxh3_64_hexdigest(content)}"'
        self._objects_by_name[name] = (content, tag)
        return tag


class _Platform:
    def __init__(self, config: PlatformConfig) -> None:
        self.config = config
        self.tables = TableState()
        self.table_copy: TableState | None = None
        self.objects = ObjectState()
        self.hosts: list[dict[str, Any]] = []
        self.backend_servers: list[dict[str, Any]] = []
        self.outage = False
        self.outage_until_s = 0.0
        self.delay_ms = 0.0
        self.lose_answers = 0
        self.stutter = Stutter(random.Random("stutter/platform"), _kind_of_response)

    @web.middleware
    async def fault_middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Apply the enabled faults to the table service and object store."""
        if not request.path.startswith(STORE_PREFIXES):
            return await handler(request)
        if self.outage or time.monotonic() < self.outage_until_s:
            return web.json_response({"error": "outage"}, status=503)
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        response = await handler(request)
        if request.method in ("POST", "PUT") and self.lose_answers > 0:
            self.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return response

    async def transact(self, request: web.Request) -> web.Response:
        """Apply conditional writes atomically."""
        body = await request.json()
        versions, failed = self.tables.transact(body["writes"])
        if failed:
            return web.json_response({"failed": failed}, status=409)
        return web.json_response({"versions": versions})

    async def get_row(self, request: web.Request) -> web.Response:
        """Return one row."""
        row = self.tables.get(request.match_info["table"], request.match_info["key"])
        if row is None:
            return web.json_response({"error": "absent"}, status=404)
        return web.json_response({"version": row.version, "value": row.value})

    async def scan(self, request: web.Request) -> web.Response:
        """Return rows in key order."""
        limit = min(MAX_SCAN_ROWS, int(request.query.get("limit", "100")))
        after = request.query.get("after", "")
        rows = self.tables.scan(request.match_info["table"], after, limit)
        return web.json_response({"rows": rows})

    async def get_object(self, request: web.Request) -> web.Response:
        """Return an object with its entity tag."""
        found = self.objects.get(request.match_info["name"])
        if found is None:
            return web.json_response({"error": "absent"}, status=404)
        return web.Response(body=found[0], headers={"ETag": found[1]})

    async def put_object(self, request: web.Request) -> web.Response:
        """Write an object if its condition holds."""
        content = await request.read()
        tag = self.objects.put(
            request.match_info["name"],
            content,
            request.headers.get("If-Match"),
            request.headers.get("If-None-Match") == "*",
        )
        if tag is None:
            return web.json_response({"error": "condition failed"}, status=412)
        return web.json_response({}, headers={"ETag": tag})

    async def get_hosts(self, _: web.Request) -> web.Response:
        """Return the host list."""
        return web.json_response(
            {"hosts": self.hosts, "backend_servers": self.backend_servers}
        )

    async def put_hosts(self, request: web.Request) -> web.Response:
        """Replace the host list after ``lag_s`` or the configured lag."""
        body = await request.json()
        lag_s = float(body.get("lag_s", self.config.host_list_lag_s))
        if lag_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(lag_s, self._set_hosts, body)
        else:
            self._set_hosts(body)
        return web.json_response({})

    def _set_hosts(self, body: dict[str, Any]) -> None:
        self.hosts = body.get("hosts", self.hosts)
        self.backend_servers = body.get("backend_servers", self.backend_servers)

    async def get_weights(self, request: web.Request) -> web.StreamResponse:
        """Send the weights of a model at the limited rate."""
        response = web.StreamResponse()
        response.content_length = self.config.weight_bytes
        await response.prepare(request)
        remaining = self.config.weight_bytes
        while remaining > 0:
            size = min(WEIGHT_CHUNK_BYTES, remaining)
            await response.write(bytes(size))
            remaining -= size
            await asyncio.sleep(size / self.config.weight_bytes_per_s)
        return response

    async def faults(self, request: web.Request) -> web.Response:
        """Set faults."""
        body = await request.json()
        self.outage = bool(body.get("outage", self.outage))
        if "outage_s" in body:
            self.outage_until_s = time.monotonic() + float(body["outage_s"])
        if body.get("keep_copy"):
            self.table_copy = self.tables.copy()
        if body.get("restore_copy") and self.table_copy is not None:
            self.tables = self.table_copy.copy()
        self.delay_ms = float(body.get("delay_ms", self.delay_ms))
        self.lose_answers = int(body.get("lose_answers", self.lose_answers))
        copies = self.stutter.apply_fault(body)
        return web.json_response({"writes": self.tables.writes, "copies": copies})


def _kind_of_response(request: web.Request, status: int) -> CopyKind | None:
    """Return the kind of a response, or None if it is never copied.

    Tools of the lab write the host list, and engines read weights, without
    proof that a response is no copy.
    """
    if not request.path.startswith((*STORE_PREFIXES, "/hosts")) or (
        request.path == "/hosts" and request.method == "PUT"
    ):
        return None
    if status >= 400:
        return CopyKind.REFUSAL if status in (409, 412, 503) else CopyKind.ERROR
    return CopyKind.SUCCESS


def platform_app(config: PlatformConfig) -> web.Application:
    """Return the HTTP application of the platform."""
    platform = _Platform(config)
    app = web.Application(
        middlewares=[error_middleware, platform.fault_middleware],
        client_max_size=64_000_000,
    )
    app.on_response_prepare.append(return_call_id)
    platform.stutter.add_to(app)
    app.router.add_post("/tables/transact", platform.transact)
    app.router.add_get("/tables/{table}/{key}", platform.get_row)
    app.router.add_get("/tables/{table}", platform.scan)
    app.router.add_get("/objects/{name}", platform.get_object)
    app.router.add_put("/objects/{name}", platform.put_object)
    app.router.add_get("/hosts", platform.get_hosts)
    app.router.add_put("/hosts", platform.put_hosts)
    app.router.add_get("/weights/{model}/{version}", platform.get_weights)
    app.router.add_post("/faults", platform.faults)
    return app


async def run_platform(config: PlatformConfig) -> None:
    """Serve the platform until cancelled."""
    await serve_app(platform_app(config), config.port)
