"""One emulated model engine: its prefills, transfers, streams and reports.

``cost_model`` defines the costs and ``engine_state`` the memory. An
engine has one task for prefills and one for decode steps, whatever its
number of streams; a step only raises the token count of each stream, and the
handler of the stream writes.

Memory of a finished stream is freed. A stream whose connection breaks
keeps its memory without producing tokens until it is resumed by
``start_index`` or cancelled, so memory that the router never releases stays
visible in the reports.
"""

import asyncio
import heapq
import itertools
import logging
import random
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web

from kumquat_core.clock import Clock
from kumquat_core.log_events import log_event
from kumquat_core.prefix_blocks import block_hashes
from kumquat_core.shard_ledger import pieces_for

from .cost_model import EngineConfig
from .emulated_responses import response_seed, token_text
from .engine_state import (
    CacheEvents,
    EngineError,
    EngineMemory,
    Link,
    PrefillResults,
    PrefixCache,
    StoredPrefill,
)
from .stutter import RecordedStream

__all__ = ["EmulatedEngine", "EngineFaults"]

logger = logging.getLogger(__name__)

REPORT_PERIOD_S = 0.2
EVICTION_PERIOD_S = 0.1
# A prefill advances in slices so that a slow period which begins or ends
# during it changes the duration of the remainder.
PREFILL_SLICE_S = 0.02


@dataclass
class EngineFaults:
    """Enabled faults; times are monotonic seconds.

    The engine crashes for ``crash_s`` when it begins to read or to answer a
    prompt that contains ``crash_text``.
    """

    slowdown: float = 1.0
    slowdown_until_s: float = 0.0
    transfer_stall_s: float = 0.0
    fail_prefills: int = 0
    refuse: bool = False
    crash_text: str = ""
    crash_s: float = 1.0
    down_until_s: float = 0.0


@dataclass(order=True)
class _QueuedPrefill:
    order: tuple[int, int]
    request_id: str = field(compare=False)
    prompt: str = field(compare=False)
    model: str = field(compare=False)
    seed: int = field(compare=False)
    hashes: tuple[int, ...] = field(compare=False)
    tokens: int = field(compare=False)
    done: "asyncio.Future[int]" = field(compare=False)
    spent_s: float = field(compare=False, default=0.0)


@dataclass(eq=False)
class _Stream:
    request_id: str
    seed: int
    prompt_tokens: int
    prompt: str = ""
    max_tokens: int = 0
    produced: int = 0
    attached: bool = False
    generation: int = 0
    wake: asyncio.Event = field(default_factory=asyncio.Event)


class EmulatedEngine:
    """One engine: prefill loop, decode loop and request handlers."""

    def __init__(
        self,
        config: EngineConfig,
        clock: Clock,
        rng: random.Random,
        session: aiohttp.ClientSession,
    ) -> None:
        self.config = config
        self.role: str = config.role
        self.models = set(config.models)
        self.faults = EngineFaults()
        self.crashed = asyncio.Event()
        self._clock = clock
        self._session = session
        self.memory = EngineMemory(config.total_pieces, config.max_requests)
        # Only memory limits the results that wait for transfer.
        result_memory = EngineMemory(config.total_pieces, config.total_pieces)
        self.results = PrefillResults(result_memory, config.evict_after_s)
        self._events = CacheEvents(config.event_delay_s, config.event_loss, rng)
        self._cache = PrefixCache(config.cache_blocks, self._events)
        self._link = Link(config.link_bytes_per_s)
        self._queue: list[_QueuedPrefill] = []
        self._running: _QueuedPrefill | None = None
        self._queue_filled = asyncio.Event()
        self._order = itertools.count()
        self._streams_by_request_id: dict[str, _Stream] = {}
        self._streams_attached = asyncio.Event()
        self._cancelled_ids: deque[str] = deque(maxlen=1000)
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=100)
        self._fence = 0
        self.counts = {
            "prefills": 0,
            "prefill_tokens": 0,
            "tokens": 0,
            "imports": 0,
            "crashes": 0,
        }
        # Seconds spent on prefills, on prefills that were transferred, and on
        # decode steps.
        self.busy_s = {"prefill": 0.0, "prefill_used": 0.0, "decode": 0.0}
        self.prefill_seeds: Counter[int] = Counter()

    def slowdown(self) -> float:
        """Return the current factor on the duration of all work."""
        now_s = self._clock.monotonic()
        factor = 1.0
        if now_s < self.faults.slowdown_until_s:
            factor = self.faults.slowdown
        return factor

    # Prefill

    async def prefill(self, body: dict[str, Any]) -> dict[str, Any]:
        """Queue a prefill, wait until it is done and store the result."""
        self._check_role("prefill")
        model, prompt = body["model"], body["prompt"]
        if model not in self.models:
            raise EngineError(409, "model is not loaded")
        if self.faults.fail_prefills > 0:
            self.faults.fail_prefills -= 1
            raise EngineError(500, "prefill failed")
        tokens = len(prompt.split())
        item = _QueuedPrefill(
            (-int(body.get("priority", 0)), next(self._order)),
            body["request_id"],
            prompt,
            model,
            response_seed(model, prompt),
            block_hashes(prompt.encode()),
            tokens,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._queue, item)
        self._queue_filled.set()
        crashes = self.counts["crashes"]
        try:
            cached = await item.done
        except asyncio.CancelledError:
            self._cancel_prefill(item)
            raise
        if self.counts["crashes"] != crashes:
            raise EngineError(500, "engine has crashed")
        prefill_id = f"{self.config.engine_id}-{item.order[1]}"
        pieces = pieces_for(tokens, self.config.piece_tokens)
        now_s = self._clock.monotonic()
        result = StoredPrefill(
            item.request_id, model, prompt, tokens, pieces, now_s, item.spent_s
        )
        self.results.store(prefill_id, result)
        return {
            "request_id": item.request_id,
            "prefill_id": prefill_id,
            "tokens": tokens,
            "cached_tokens": cached,
            "pieces": pieces,
            "expires_ms": int(self.config.evict_after_s * 1000),
        }

    async def run_prefills(self) -> None:
        """Run queued prefills one at a time; never returns."""
        while True:
            while not self._queue:
                self._queue_filled.clear()
                await self._queue_filled.wait()
            item = heapq.heappop(self._queue)
            if item.done.done():
                continue
            self._running = item
            self.prefill_seeds[item.seed] += 1
            self._crash_under(item.prompt)
            cached_tokens = self._cached_tokens(item)
            if await self._wait_prefill(item, cached_tokens):
                self._cache.store(item.model, item.hashes, self._clock.monotonic())
                self.counts["prefills"] += 1
                self.counts["prefill_tokens"] += item.tokens - cached_tokens
                item.done.set_result(cached_tokens)
            self._running = None

    def _cached_tokens(self, item: _QueuedPrefill) -> int:
        if not item.hashes or item.tokens == 0:
            return 0
        matched = self._cache.match(item.model, item.hashes)
        # One token is always computed: its output starts the response.
        return min(item.tokens - 1, matched * item.tokens // (len(item.hashes) + 1))

    async def _wait_prefill(self, item: _QueuedPrefill, cached_tokens: int) -> bool:
        """Wait for the duration of a prefill; return False if cancelled."""
        remaining_s = self.config.prefill_s(item.tokens - cached_tokens)
        began_s = last_s = self._clock.monotonic()
        while remaining_s > 0 and not item.done.done():
            factor = self.slowdown()
            await asyncio.sleep(min(PREFILL_SLICE_S, remaining_s * factor))
            now_s = self._clock.monotonic()
            remaining_s -= (now_s - last_s) / factor
            last_s = now_s
        item.spent_s = last_s - began_s
        self.busy_s["prefill"] += item.spent_s
        return not item.done.done()

    def _cancel_prefill(self, item: _QueuedPrefill) -> None:
        if not item.done.done():
            item.done.cancel()
        if item in self._queue:
            self._queue.remove(item)
            heapq.heapify(self._queue)

    # Transfer

    def begin_export(self, prefill_id: str) -> dict[str, Any]:
        """Begin the transfer of a result; return its content and the delay."""
        now_s = self._clock.monotonic()
        result = self.results.begin_transfer(prefill_id, now_s)
        size_bytes = result.tokens * self.config.kv_bytes_per_token
        done_s = self._link.reserve(size_bytes, now_s)
        return {
            "model": result.model,
            "prompt": result.prompt,
            "tokens": result.tokens,
            "delay_s": done_s - now_s + self.faults.transfer_stall_s,
        }

    def end_export(self, prefill_id: str) -> None:
        """Free a result after its transfer."""
        result = self.results.results_by_id.get(prefill_id)
        if result is not None:
            self.busy_s["prefill_used"] += result.spent_s
            self.results.remove(prefill_id)

    async def import_cache(self, body: dict[str, Any]) -> dict[str, Any]:
        """Allocate memory and fetch a KV cache from a prefill engine.

        The transfer continues when the caller disconnects; its memory then
        stays allocated until the request is cancelled.
        """
        self._check_role("decode")
        return await asyncio.shield(self._transfer(body))

    async def _transfer(self, body: dict[str, Any]) -> dict[str, Any]:
        request_id = body["request_id"]
        if body["model"] not in self.models:
            raise EngineError(409, "model is not loaded")
        began_s = self._clock.monotonic()
        self.memory.allocate(request_id, int(body["pieces"]), began_s)
        url = f"{body['source_url']}/v1/kv/{body['prefill_id']}"
        try:
            content = await self._fetch(url)
            size_bytes = content["tokens"] * self.config.kv_bytes_per_token
            own_delay_s = self._link.reserve(size_bytes, began_s) - began_s
            stall_s = self.faults.transfer_stall_s
            await asyncio.sleep(max(content["delay_s"], own_delay_s) + stall_s)
        except BaseException:
            if request_id not in self._streams_by_request_id:
                self.memory.free(request_id)
            raise
        if request_id not in self.memory.held_by_request_id:
            raise EngineError(410, "request was cancelled")
        self._end_stream(request_id)
        seed = response_seed(content["model"], content["prompt"])
        stream = _Stream(request_id, seed, content["tokens"], content["prompt"])
        self._streams_by_request_id[request_id] = stream
        self.counts["imports"] += 1
        await self._release_source(url)
        return {"tokens": content["tokens"]}

    async def _fetch(self, url: str) -> dict[str, Any]:
        try:
            async with self._session.post(url) as response:
                if response.status != 200:
                    raise EngineError(response.status, "export refused")
                document: dict[str, Any] = await response.json()
                return document
        except (aiohttp.ClientError, OSError) as error:
            raise EngineError(502, "prefill engine unreachable") from error

    async def _release_source(self, url: str) -> None:
        try:
            async with self._session.delete(url):
                pass
        except (aiohttp.ClientError, OSError):
            log_event(logger, "source_not_released", level=logging.WARNING, url=url)

    # Decode

    async def decode(self, request: web.Request) -> web.StreamResponse:
        """Stream the tokens of a request from ``start_index``."""
        self._check_role("decode")
        body = await request.json()
        stream = self._streams_by_request_id.get(body["request_id"])
        if stream is None:
            raise EngineError(404, "request holds no KV cache")
        max_tokens, start = int(body["max_tokens"]), int(body["start_index"])
        self._ensure_memory(stream, max_tokens)
        stream.generation += 1
        generation = stream.generation
        stream.wake.set()
        stream.max_tokens = max_tokens
        stream.produced = max(start, 0)
        stream.wake = asyncio.Event()
        stream.attached = True
        self._streams_attached.set()
        response = RecordedStream(body["request_id"])
        await response.prepare(request)
        self._crash_under(stream.prompt)
        try:
            finished = await self._write_tokens(response, stream, generation, start)
        finally:
            if stream.generation == generation:
                stream.attached = False
        if not finished and request.transport is not None:
            # The connection closes without an end marker.
            request.transport.abort()
        return response

    async def _write_tokens(
        self, response: web.StreamResponse, stream: _Stream, generation: int, sent: int
    ) -> bool:
        while sent < stream.max_tokens:
            if sent >= stream.produced:
                stream.wake.clear()
                await stream.wake.wait()
            if stream.generation != generation:
                return False
            produced = stream.produced
            events = [
                f'data: {{"i":{index},"t":"{token_text(stream.seed, index)}"}}\n\n'
                for index in range(sent, produced)
            ]
            await response.write("".join(events).encode())
            sent = produced
        self._end_stream(stream.request_id)
        self.memory.free(stream.request_id)
        await response.write(b"data: [DONE]\n\n")
        return True

    def _ensure_memory(self, stream: _Stream, max_tokens: int) -> None:
        tokens = stream.prompt_tokens + max_tokens
        needed = pieces_for(tokens, self.config.piece_tokens)
        held = self.memory.held_by_request_id.get(stream.request_id)
        if held is None:
            raise EngineError(404, "request holds no memory")
        if needed > held.pieces:
            now_s = self._clock.monotonic()
            self.memory.allocate(stream.request_id, needed, now_s)

    async def run_decode(self) -> None:
        """Produce one token per step for each attached stream, forever."""
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            batch = self._batch()
            if not batch:
                self._streams_attached.clear()
                await self._streams_attached.wait()
                next_s = loop.time()
                continue
            step_s = self.config.step_s(len(batch)) * self.slowdown()
            # Event loop latency does not accumulate in the schedule, and
            # at most one step of lost time is caught up.
            next_s = max(next_s + step_s, loop.time())
            await asyncio.sleep(next_s - loop.time())
            self.busy_s["decode"] += step_s
            self.counts["tokens"] += len(batch)
            for stream in batch:
                if stream.produced < stream.max_tokens:
                    stream.produced += 1
                    stream.wake.set()

    def _batch(self) -> list[_Stream]:
        return [
            stream
            for stream in self._streams_by_request_id.values()
            if stream.attached and stream.produced < stream.max_tokens
        ]

    # Cancel, report, commands

    def cancel(self, request_id: str) -> None:
        """Free everything that a request holds."""
        items = [self._running, *self._queue]
        for item in items:
            if item is not None and item.request_id == request_id:
                self._cancel_prefill(item)
        self.results.remove_request(request_id)
        self._end_stream(request_id)
        self.memory.free(request_id)

    def _end_stream(self, request_id: str) -> None:
        stream = self._streams_by_request_id.pop(request_id, None)
        if stream is not None:
            stream.generation += 1
            stream.attached = False
            stream.wake.set()

    def is_down(self) -> bool:
        """Return whether the engine has crashed and is not back yet."""
        return self._clock.monotonic() < self.faults.down_until_s

    def _crash_under(self, prompt: str) -> None:
        """Crash if this is a prompt that crashes the engine."""
        if self.faults.crash_text and self.faults.crash_text in prompt:
            self.crash()

    def crash(self) -> None:
        """End all streams, lose all memory and answer no call for a while."""
        self.faults.down_until_s = self._clock.monotonic() + self.faults.crash_s
        self.counts["crashes"] += 1
        self.crashed.set()
        for item in (self._running, *self._queue):
            if item is not None:
                self._cancel_prefill(item)
        for prefill_id in list(self.results.results_by_id):
            self.results.remove(prefill_id)
        for request_id in list(self.memory.held_by_request_id):
            self.cancel(request_id)

    def break_streams(self) -> None:
        """Close the connections of all streams; their memory is kept."""
        for stream in self._streams_by_request_id.values():
            stream.generation += 1
            stream.attached = False
            stream.wake.set()

    def report(self) -> dict[str, Any]:
        """Return the current load report."""
        now_s = self._clock.monotonic()
        self.results.evict(now_s)
        requests = [
            {
                "request_id": request_id,
                "pieces": held.pieces,
                "age_ms": int((now_s - held.since_s) * 1000),
            }
            for request_id, held in self.memory.held_by_request_id.items()
        ]
        requests += [
            {
                "request_id": result.request_id,
                "pieces": result.pieces,
                "age_ms": int((now_s - result.stored_s) * 1000),
            }
            for result in self.results.results_by_id.values()
        ]
        batch = len(self._batch())
        return {
            "as_of_ms": self._clock.wall_ms(),
            "role": self.role,
            "models": sorted(self.models),
            "total_pieces": self.memory.total_pieces,
            "held_pieces": self.memory.held_pieces + self.results.memory.held_pieces,
            "requests": requests,
            "prefill_queue": len(self._queue) + (self._running is not None),
            "step_ms": self.config.step_s(batch) * self.slowdown() * 1000,
        }

    def lagging_report(self) -> dict[str, Any]:
        """Return the newest report that is at least ``report_lag_s`` old."""
        limit_s = self._clock.monotonic() - self.config.report_lag_s
        newest = self._reports[0][1] if self._reports else self.report()
        for recorded_s, report in self._reports:
            if recorded_s > limit_s:
                break
            newest = report
        return newest

    async def run_reports(self) -> None:
        """Record reports for ``lagging_report``; never returns."""
        while True:
            self._reports.append((self._clock.monotonic(), self.report()))
            await asyncio.sleep(REPORT_PERIOD_S)

    async def run_stragglers(self) -> None:
        """Start the slow periods of the configuration; never returns."""
        straggler = self.config.straggler
        if straggler is None:
            return
        rng = random.Random(f"{straggler.seed}/{self.config.engine_id}")
        while True:
            pause_s = straggler.period_s - straggler.window_s
            await asyncio.sleep(max(0.1, pause_s * rng.uniform(0.5, 1.5)))
            self.start_slow_period(straggler.slowdown, straggler.window_s)
            await asyncio.sleep(straggler.window_s)

    def start_slow_period(self, factor: float, duration_s: float) -> None:
        """Multiply durations of work by ``factor`` for ``duration_s``."""
        self.faults.slowdown = factor
        self.faults.slowdown_until_s = self._clock.monotonic() + duration_s

    def cache_events(self, after: int) -> list[dict[str, object]]:
        """Return the published cache events with a higher sequence number."""
        return self._events.published_after(after, self._clock.monotonic())

    async def apply_command(self, body: dict[str, Any]) -> None:
        """Load a model or change the role; refuse a stale fence if checked."""
        fence = int(body["fence"])
        if self.config.checks_fencing and fence < self._fence:
            raise EngineError(412, "stale fence")
        self._fence = max(self._fence, fence)
        match body["kind"]:
            case "load_model":
                await self._load_model(body["model"], body["version"])
            case "set_role" if body["role"] in ("prefill", "decode"):
                self.role = body["role"]
            case _:
                raise EngineError(422, "unknown order")

    async def _load_model(self, model: str, version: str) -> None:
        if self.config.weight_store_url:
            url = f"{self.config.weight_store_url}/weights/{model}/{version}"
            async with self._session.get(url) as response:
                async for _ in response.content.iter_chunked(65536):
                    pass
        self.models.add(model)

    def _check_role(self, role: str) -> None:
        if self.faults.refuse:
            raise EngineError(500, "engine is failing")
        if self.role != role:
            raise EngineError(503, "wrong role")

    def apply_faults(self, body: dict[str, Any]) -> None:
        """Set faults: any of the fields named in docs/lab.md."""
        if "slowdown" in body:
            self.start_slow_period(
                float(body["slowdown"]), float(body.get("for_s", 2.0))
            )
        if "transfer_stall_s" in body:
            self.faults.transfer_stall_s = float(body["transfer_stall_s"])
        if "fail_prefills" in body:
            self.faults.fail_prefills = int(body["fail_prefills"])
        if "refuse" in body:
            self.faults.refuse = bool(body["refuse"])
        self.faults.crash_text = str(body.get("crash_text", self.faults.crash_text))
        self.faults.crash_s = float(body.get("crash_s", self.faults.crash_s))
        if body.get("break_streams"):
            self.break_streams()

    async def run_evictions(self) -> None:
        """Evict expired prefill results; never returns."""
        while True:
            await asyncio.sleep(EVICTION_PERIOD_S)
            self.results.evict(self._clock.monotonic())

    def background_loops(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the coroutine functions that run while the engine serves."""
        return [
            self.run_prefills,
            self.run_decode,
            self.run_reports,
            self.run_evictions,
            self.run_stragglers,
        ]
