"""Measures the latency, processor time and memory that an entry host adds.

- time to first token: requests of equal size are sent alternately to the
  emulated engines and through an entry host of an idle stack;
- tokens forwarded per second of processor time of one entry host;
- memory per open stream, with one caller that does not read;
- memory per caller that does not read while its response arrives quickly.
"""

import asyncio
import json
import random
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import numpy as np

from kumquat_core.engine_client import HttpEngineClient
from kumquat_core.http_client import create_session

from .arrivals import make_prompt
from .caller import ModelCall, call_model
from .client_accounts import MADAFU
from .compare import measurement_lock
from .stack import EntryHostPlan, Stack, StackConfig, running_stack

__all__ = ["COST_PARTS", "measure_cost"]

COST_PARTS = ("added_ttft_ms", "forwarding", "open_streams", "stalled_readers")

Measurement = Callable[[int], Awaitable[dict[str, Any]]]

REQUEST_PAIRS = 150
SHORT_RESPONSE_TOKENS = 4
FORWARD_STREAMS = 150
FORWARD_TOKENS = 250
OPEN_STREAMS = 1000
OPEN_STEP_MS = 500.0
OPEN_TBT_TARGET_MS = 2000
OPEN_HOLD_S = 5.0
OPEN_TOKENS = 40
OPEN_TIMEOUT_S = 40.0
STALLED_READERS = 20
STALLED_TOKENS = 8000
STALLED_HOLD_S = 15.0
CLIENT_BUFFER_BYTES = 4096


async def measure_cost(
    seed: int, parts: Sequence[str], lock_path: Path | None
) -> dict[str, Any]:
    """Run the named measurements under one lock; all take about 100 s."""
    measurements: dict[str, Measurement] = {
        "added_ttft_ms": _measure_ttft,
        "forwarding": _measure_forwarding,
        "open_streams": _measure_memory,
        "stalled_readers": _measure_stalled_readers,
    }
    document: dict[str, Any] = {"seed": seed}
    async with measurement_lock(lock_path):
        for part in parts:
            document[part] = await measurements[part](seed)
    return document


def _make_call(rng: random.Random, tokens: int) -> ModelCall:
    work = MADAFU.work[0]
    return ModelCall(
        api_key=MADAFU.api_key,
        model=MADAFU.model,
        class_name=work.class_name,
        prompt=make_prompt(rng, work),
        max_tokens=tokens,
        deadline_ms=work.deadline_ms,
    )


async def _measure_ttft(seed: int) -> dict[str, Any]:
    config = StackConfig(
        hosts_per_firm=2, prefill_engines=1, decode_engines=1, log_level="error"
    )
    rng = random.Random(f"{seed}/ttft")
    direct, routed = [], []
    async with running_stack(config) as stack, create_session(2.0) as session:
        hosts = stack.plan.hosts_of(MADAFU)
        for index in range(REQUEST_PAIRS):
            # Prompts of equal length but different text, since a cached prefix
            # would make the second request faster.
            first = _make_call(rng, SHORT_RESPONSE_TOKENS)
            second = _with_prompt_length_of(
                first, _make_call(rng, SHORT_RESPONSE_TOKENS)
            )
            direct.append(await _direct_ttft_ms(stack, session, first, index))
            host = hosts[index % len(hosts)]
            outcome = await call_model(session, host.caller_url, second)
            if outcome.kind != "ok":
                raise RuntimeError(f"request failed: {outcome}")
            routed.append(outcome.ttft_ms)
    added = np.array(routed) - np.array(direct)
    return {
        "pairs": REQUEST_PAIRS,
        "direct_p50": _percentile(direct, 50),
        "direct_p99": _percentile(direct, 99),
        "routed_p50": _percentile(routed, 50),
        "routed_p99": _percentile(routed, 99),
        "added_p50": _percentile(list(added), 50),
        "added_p99": _percentile(list(added), 99),
    }


def _with_prompt_length_of(first: ModelCall, second: ModelCall) -> ModelCall:
    """Return ``second`` with its prompt cut or padded to that of ``first``."""
    length = len(first.prompt)
    prompt = (second.prompt + second.prompt)[:length]
    return ModelCall(**{**vars(second), "prompt": prompt})


def _percentile(values: list[float], rank: int) -> float:
    return round(float(np.percentile(values, rank)), 2)


async def _direct_ttft_ms(
    stack: Stack, session: aiohttp.ClientSession, call: ModelCall, index: int
) -> float:
    client = HttpEngineClient(session, 5.0)
    prefill_url, decode_url = (
        f"http://127.0.0.1:{engine.port}"
        for engine in stack.plan.engines_by_firm[MADAFU.name]
    )
    request_id = f"direct.1.{index}"
    started_s = time.monotonic()
    result = await client.prefill(prefill_url, request_id, call.model, call.prompt, 5)
    await client.import_cache(
        decode_url, request_id, call.model, prefill_url, result, 2, 5
    )
    first_s = 0.0
    async for _ in client.decode(decode_url, request_id, call.max_tokens, 0):
        first_s = first_s or time.monotonic()
    return (first_s - started_s) * 1000


async def _measure_forwarding(seed: int) -> dict[str, Any]:
    config = StackConfig(
        hosts_per_firm=1, prefill_engines=2, decode_engines=8, log_level="error"
    )
    rng = random.Random(f"{seed}/forward")
    calls = [_make_call(rng, FORWARD_TOKENS) for _ in range(FORWARD_STREAMS)]
    async with running_stack(config) as stack, create_session(2.0) as session:
        host = stack.plan.hosts_of(MADAFU)[0]
        child = stack.processes.children_by_name[host.host_id]
        engines = stack.processes.children_by_name[f"{MADAFU.name}-engines"]
        engines_cpu_s = engines.cpu_s()
        cpu_s, began_s = child.cpu_s(), time.monotonic()
        outcomes = await asyncio.gather(
            *(call_model(session, host.caller_url, call) for call in calls)
        )
        elapsed_s = time.monotonic() - began_s
        cpu_s = child.cpu_s() - cpu_s
        engines_cpu_s = engines.cpu_s() - engines_cpu_s
    tokens = sum(outcome.tokens for outcome in outcomes)
    return {
        "streams": FORWARD_STREAMS,
        "answers_right": sum(outcome.kind == "ok" for outcome in outcomes),
        "tokens": tokens,
        "elapsed_s": round(elapsed_s, 2),
        "cpu_s": round(cpu_s, 2),
        "tokens_per_cpu_s": round(tokens / cpu_s),
        "emulated_engines": config.prefill_engines + config.decode_engines,
        "emulated_engines_cpu_s": round(engines_cpu_s, 2),
    }


def _fast_engine_settings(step_ms: float) -> dict[str, float]:
    """Return settings of engines that hold all streams and prefill fast."""
    return {
        "max_requests": OPEN_STREAMS,
        "total_pieces": OPEN_STREAMS * 10,
        "step_base_ms": step_ms,
        "step_request_ms": 0.0,
        "prefill_overhead_ms": 1.0,
        "prefill_tokens_per_s": 1e5,
        "link_bytes_per_s": 1e12,
    }


def _memory_stack(step_ms: float) -> StackConfig:
    return StackConfig(
        hosts_per_firm=1,
        prefill_engines=4,
        decode_engines=2,
        log_level="error",
        engine_changes=_fast_engine_settings(step_ms),
        # The router does not fill engines whose steps miss the target.
        tbt_target_ms=OPEN_TBT_TARGET_MS,
    )


async def _measure_memory(seed: int) -> dict[str, Any]:
    rng = random.Random(f"{seed}/memory")
    calls = [_make_call(rng, OPEN_TOKENS) for _ in range(OPEN_STREAMS)]
    async with (
        running_stack(_memory_stack(OPEN_STEP_MS)) as stack,
        create_session(5.0) as session,
    ):
        host = stack.plan.hosts_of(MADAFU)[0]
        child = stack.processes.children_by_name[host.host_id]
        before = child.resident_bytes()
        stalled = await _open_without_reading(host, _make_call(rng, STALLED_TOKENS))
        tasks = [
            asyncio.create_task(call_model(session, host.caller_url, call))
            for call in calls
        ]
        opened = await _wait_for_streams(stack, OPEN_STREAMS)
        with_streams = child.resident_bytes()
        await asyncio.sleep(OPEN_HOLD_S)
        later = child.resident_bytes()
        outcomes = await asyncio.gather(*tasks)
        stalled.close()
    return {
        "streams": opened,
        "answers_right": sum(outcome.kind == "ok" for outcome in outcomes),
        "resident_before_bytes": before,
        "resident_with_streams_bytes": with_streams,
        "resident_later_bytes": later,
        "bytes_per_stream": round((later - before) / max(1, opened)),
    }


async def _measure_stalled_readers(seed: int) -> dict[str, Any]:
    rng = random.Random(f"{seed}/stalled")
    calls = [_make_call(rng, STALLED_TOKENS) for _ in range(STALLED_READERS)]
    async with running_stack(_memory_stack(1.0)) as stack:
        host = stack.plan.hosts_of(MADAFU)[0]
        child = stack.processes.children_by_name[host.host_id]
        before = child.resident_bytes()
        sockets = [await _open_without_reading(host, call) for call in calls]
        await asyncio.sleep(STALLED_HOLD_S)
        after = child.resident_bytes()
        for item in sockets:
            item.close()
    return {
        "readers": STALLED_READERS,
        "tokens_each": STALLED_TOKENS,
        "resident_before_bytes": before,
        "resident_after_bytes": after,
        "bytes_per_reader": round((after - before) / STALLED_READERS),
    }


async def _open_without_reading(host: EntryHostPlan, call: ModelCall) -> socket.socket:
    """Send a streaming request and return its socket without reading."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
    connection.setblocking(False)
    body = json.dumps(
        {
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": True,
        }
    )
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: localhost\r\n"
        f"Authorization: Bearer {call.api_key}\r\n"
        f"X-Request-Class: {call.class_name}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, ("127.0.0.1", host.caller_port))
    await loop.sock_sendall(connection, (head + body).encode())
    return connection


async def _wait_for_streams(stack: Stack, expected: int) -> int:
    """Wait until the decode engines hold all requests; return their number."""
    limit_s = time.monotonic() + OPEN_TIMEOUT_S
    count = 0
    while count < expected and time.monotonic() < limit_s:
        await asyncio.sleep(0.2)
        count = 0
        for engine in stack.plan.engines_by_firm[MADAFU.name]:
            url = f"http://127.0.0.1:{engine.port}/v1/report?fresh=1"
            count += len((await stack.call("GET", url))["requests"])
    return count
