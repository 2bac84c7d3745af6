"""Tests of servers that answer "not run" without the proof of it.

A caller that reads 408, 429 or 503 sends a request again that must not be
repeated, although the server may have run it.
"""

from collections import Counter

import pytest

from kumquat_core.log_events import KeyValueFormatter

from .fakes import FakeEngine
from .odd_streams import complete_answer
from .raw_answers import RawAnswer, exchange
from .relay_harness import RelayHarness, configuration, run_scenario

UNPROVEN = (408, 429, 503)


async def send(harness: RelayHarness, route: str) -> RawAnswer:
    """Send a request and return what its caller reads."""
    address = harness.host._options.callers
    return await exchange(address, route, harness.next_request_id())


def check_unknown(answer: RawAnswer) -> None:
    """The answer promises nothing and isn't shown as one of a server."""
    assert answer.complete, answer
    assert answer.status == 502
    assert b"x-response-seal" not in answer.headers
    assert b"retry-after" not in answer.headers


def runs(engines: list[FakeEngine]) -> Counter[str]:
    return Counter(request_id for engine in engines for request_id in engine.runs)


@pytest.mark.parametrize("route", ["once", "again"])
@pytest.mark.parametrize("status", UNPROVEN)
def test_a_plain_request_that_may_have_run_is_not_refused(
    status: int, route: str
) -> None:
    """A server's own 503 was passed on, and the caller sent it again."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.backend_servers:
            engine.status = status
            engine.extra_headers["Retry-After"] = "0.1"
        answer = await send(harness, route)
        check_unknown(answer)
        (count,) = runs(harness.backend_servers).values()
        assert count == (1 if route == "once" else 2)

    run_scenario(scenario)


@pytest.mark.parametrize("status", UNPROVEN)
def test_a_repeatable_request_is_served_by_another_server(status: int) -> None:
    """A 429 or 408 of one server ended requests that another one serves."""

    async def scenario(harness: RelayHarness) -> None:
        harness.backend_servers[0].status = status
        statuses = Counter([(await send(harness, "again")).status for _ in range(8)])
        assert statuses == {200: 8}
        assert harness.backend_servers[0].runs

    run_scenario(scenario)


def test_no_refusal_at_the_deadline_after_an_unproven_one() -> None:
    """The answer kept from the first server promised that it had not run."""

    async def scenario(harness: RelayHarness) -> None:
        document = configuration(version=4)
        for entry in document["routes"]:
            entry["timeout_ms"] = 600
        harness.store.put("op", "config", document)
        await harness.wait_until(
            lambda: harness.host._parts.cluster_state.routes.version == 4
        )
        failing, slow = harness.backend_servers
        failing.status, slow.processing_s = 503, 5.0
        answers = [await send(harness, "again") for _ in range(4)]
        assert {answer.status for answer in answers} <= {502, 504}
        assert failing.runs
        assert not any(b"x-response-seal" in answer.headers for answer in answers)

    run_scenario(scenario)


def test_the_log_names_the_status_of_the_server(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The caller's 502 alone would not tell why its request failed."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.backend_servers:
            engine.status = 429
        await send(harness, "once")

    with caplog.at_level("INFO"):
        run_scenario(scenario)
    lines = [KeyValueFormatter().format(record) for record in caplog.records]
    assert any("detail=429_unproven" in line for line in lines)
    assert any("reason=status_429_unproven" in line for line in lines)


@pytest.mark.parametrize("route", ["tale", "story"])
@pytest.mark.parametrize("status", UNPROVEN)
def test_a_stream_that_may_have_run_is_not_refused(status: int, route: str) -> None:
    """Also where the last engine allowed gives such an answer."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.decode_engines:
            engine.odd_first_answers = [complete_answer(status)] * 4
        answer = await send(harness, route)
        check_unknown(answer)
        (count,) = runs(harness.decode_engines).values()
        assert count == (1 if route == "tale" else 2)

    run_scenario(scenario)


@pytest.mark.parametrize("status", UNPROVEN)
def test_a_resumable_stream_is_served_by_another_engine(status: int) -> None:
    async def scenario(harness: RelayHarness) -> None:
        answers = [complete_answer(status)]
        for engine in harness.decode_engines:
            engine.odd_first_answers = answers
        answer = await send(harness, "story")
        assert (answer.status, answer.complete) == (200, True)
        assert not answers

    run_scenario(scenario)


def test_refusals_with_a_proof_stay_refusals() -> None:
    """Callers may send these again at once."""

    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.backend_servers:
            engine.full = True
        for route in ("once", "again"):
            answer = await send(harness, route)
            assert answer.status == 503
        assert not runs(harness.backend_servers)

    run_scenario(scenario)


@pytest.mark.parametrize("status", [500, 504, 404])
def test_other_failures_are_passed_on(status: int) -> None:
    async def scenario(harness: RelayHarness) -> None:
        for engine in harness.backend_servers:
            engine.status = status
        answer = await send(harness, "once")
        assert answer.status == status
        assert b"x-response-seal" in answer.headers

    run_scenario(scenario)
