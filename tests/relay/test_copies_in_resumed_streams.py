"""Tests of servers that copy answers around streams that break off.

A stream that goes on at another engine meets copies at the engine that broke,
at the engine that goes on, of heads and of events. A copy that is taken for
the rest of the stream gives its caller events twice or those of another one.
"""

from collections.abc import Callable
from itertools import cycle

import pytest

from kumquat_relay import engine_pool

from .raw_answers import exchange
from .relay_harness import RelayHarness, configuration, run_scenario
from .stutter import Copy, CopyTime, Exchange, without_id

STREAMS = 28
HEAD_END = b"\r\n\r\n"


@pytest.fixture(autouse=True)
def reuse_after_copies(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let connections be reused after a copy, so that more copies are met."""
    monkeypatch.setattr(engine_pool, "NO_REUSE_S", 0.0)


def _head(answer: bytes) -> bytes:
    return answer.partition(HEAD_END)[0] + HEAD_END


def _events(answer: bytes) -> bytes:
    """Return the chunks of an answer, which have no head."""
    return answer.partition(HEAD_END)[2]


def _half(answer: bytes) -> bytes:
    """Return the head and the chunks of the first two events."""
    head, end, chunks = answer.partition(HEAD_END)
    return head + end + chunks[: len(chunks) * 2 // 5]


PARTS: dict[str, Callable[[bytes], bytes]] = {
    "whole": lambda answer: answer,
    "without_id": without_id,
    "head": _head,
    "half_of_a_head": lambda answer: _head(answer)[: len(_head(answer)) // 2],
    "events": _events,
    "head_and_events": _half,
    "head_without_id_and_events": lambda answer: _half(without_id(answer)),
}


async def end_reservations(harness: RelayHarness) -> None:
    """Let runs meet the copies, which reservations would meet first."""
    document = configuration(version=4)
    document["services"][0]["engine"]["hold_ms"] = 0.0
    harness.store.put("op", "config", document)
    await harness.wait_until(
        lambda: harness.host._parts.cluster_state.routes.version == 4
    )


def events_of(request_id: str) -> bytes:
    """Return the events of a whole stream, which name their request."""
    events = (f"id: {n}\ndata: {request_id}{n}\n\n" for n in range(1, 6))
    return "".join(events).encode()


@pytest.mark.parametrize("time", CopyTime)
@pytest.mark.parametrize("copying", ["decode0", "decode"])
def test_no_copy_becomes_a_part_of_a_stream(copying: str, time: CopyTime) -> None:
    """Each second stream breaks, at an engine that copies or before one."""

    async def scenario(harness: RelayHarness) -> None:
        await end_reservations(harness)
        breaks_after, parts = cycle([0, 1, 2, 4]), cycle(PARTS.values())

        def copy(answer: Exchange) -> Copy | None:
            if answer.status != 200 or not answer.request_id:
                return None
            return Copy(next(parts)(answer.answer), time, 0.002)

        for engine in harness.decode_engines:
            engine.events_name_request = True
            if engine.id.startswith(copying):
                harness.proxies_by_id[engine.id].plan = copy
        complete = 0
        for number in range(STREAMS):
            if number % 2:
                harness.break_next_stream(after=next(breaks_after))
            request_id = harness.next_request_id()
            address = harness.host._options.callers
            answer = await exchange(address, "story", request_id)
            if answer.status != 200:
                # It may have run at an engine that copies.
                assert answer.status == 502
                continue
            events = events_of(request_id)
            assert answer.headers[b"x-request-id"] == request_id.encode()
            if answer.complete:
                complete += 1
                assert answer.body == events
            else:
                assert events.startswith(answer.body)
                assert answer.body.endswith(b"\n\n") or not answer.body
        assert complete > STREAMS // 4
        # The one that copies is avoided for a while after each failure.
        proxies = harness.proxies_by_id.values()
        assert sum(proxy.copies for proxy in proxies) > 0

    run_scenario(scenario, stuttering=True)
