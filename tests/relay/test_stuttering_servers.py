"""Tests of servers that write an earlier answer again.

A copy that is taken for the answer to another request gives a caller an answer
that isn't its own, lets a request that ran end as refused, or runs it twice.
"""

import pytest
from multidict import CIMultiDict

from kumquat_relay import engine_pool
from kumquat_relay.engine_pool import NO_REUSE_S

from .relay_harness import HOST, RelayHarness, run_scenario
from .stutter import Copy, CopyTime
from .stutter_judge import (
    KINDS,
    CopyMaker,
    Judge,
    prepare_answers,
    stutter_scenario,
    wait_for_idle_copies,
)


@pytest.fixture(autouse=True)
def reuse_after_copies(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let connections be reused after a copy, so that more copies are met."""
    monkeypatch.setattr(engine_pool, "NO_REUSE_S", 0.0)


def check_plain_requests(kind: str, time: CopyTime, *, cut: bool) -> None:
    """Send plain requests to servers that copy their answers of a kind."""

    async def scenario(harness: RelayHarness, judge: Judge) -> None:
        copies = CopyMaker(time, cut=cut)
        for engine in harness.backend_servers:
            judge.use(engine, copies.plan)
        for number in range(60):
            copies.active = True
            prepare_answers(harness.backend_servers, kind)
            await judge.send("once")
            await wait_for_idle_copies(harness)
            copies.active = False
            prepare_answers(harness.backend_servers, "404" if kind == "200" else "200")
            await judge.send("again" if number % 2 else "once")
        assert sum(proxy.copies for proxy in harness.proxies_by_id.values()) > 20
        assert judge.faults == []
        assert judge.outcomes["404" if kind == "200" else "200"] > 5

    stutter_scenario(scenario)


@pytest.mark.parametrize("time", CopyTime)
@pytest.mark.parametrize("kind", KINDS)
def test_a_copy_is_not_taken_for_the_answer_to_a_plain_request(
    kind: str, time: CopyTime
) -> None:
    """Copies of errors and refusals without an id were taken for answers."""
    check_plain_requests(kind, time, cut=False)


@pytest.mark.parametrize("time", [CopyTime.AFTER_REQUEST, CopyTime.BEFORE_NEXT])
@pytest.mark.parametrize("kind", KINDS)
def test_a_cut_copy_does_not_change_the_answer_after_it(
    kind: str, time: CopyTime
) -> None:
    """The head of a cut refusal took over the id of the answer after it."""
    check_plain_requests(kind, time, cut=True)


@pytest.mark.parametrize("time", CopyTime)
@pytest.mark.parametrize("cut", [False, True])
def test_a_refusal_is_not_believed_when_the_run_is_sent_there_again(
    time: CopyTime, cut: bool
) -> None:
    """The copy of a refusal has the id of the request that is sent again.

    A run is sent to its engine again if the engine refuses a prefill result
    that has expired.
    """

    async def scenario(harness: RelayHarness, judge: Judge) -> None:
        harness.store.remove("servers", harness.decode_engines[1].id)
        engine = harness.decode_engines[0]
        engine.prefills_expired = True
        copies = CopyMaker(time, cut=cut)
        judge.use(
            engine,
            lambda exchange: copies.plan(exchange) if exchange.status == 503 else None,
        )
        for _ in range(30):
            await judge.send("tale")
        assert judge.faults == []
        assert judge.outcomes["200"] > 5

    stutter_scenario(scenario)


@pytest.mark.parametrize("time", CopyTime)
def test_two_requests_of_callers_may_have_the_same_id(time: CopyTime) -> None:
    """An id that a caller uses twice would not tell a copy of the first."""

    async def scenario(harness: RelayHarness, judge: Judge) -> None:
        harness.store.remove("servers", harness.backend_servers[1].id)
        engine = harness.backend_servers[0]
        judge.use(engine, lambda exchange: Copy(exchange.answer, time, 0.002))
        for number in range(20):
            engine.status = 404 if number % 2 else 200
            status = await harness.request_status("once", X_Request_Id="same")
            assert status == engine.status

    stutter_scenario(scenario)


REFUSAL_WITH_NOTICES = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: 60\r\n"
    b"Server-Leaving: 1\r\nServer-Limit: 1\r\n%sContent-Length: 0\r\n\r\n"
)


@pytest.mark.parametrize("id_line", [b"", b"X-Request-Id: another\r\n"])
def test_a_notice_of_an_answer_that_is_not_accepted_changes_nothing(
    id_line: bytes,
) -> None:
    """An old refusal kept a host from an engine that had become free."""

    async def scenario(harness: RelayHarness, judge: Judge) -> None:
        for engine in harness.backend_servers:
            judge.use(engine, lambda exchange: Copy(REFUSAL_WITH_NOTICES % id_line))
        for _ in range(10):
            await judge.send("once")
        assert judge.outcomes["502"] > 0
        host = harness.host
        for engine in harness.backend_servers:
            entry = host._parts.cluster_state.registry.get(engine.id)
            assert entry is not None
            assert not entry.draining
            assert host._notices.remaining_pause_s(engine.id) == 0
            assert not host._limits.known.is_limited(engine.id)

    stutter_scenario(scenario)


def test_a_request_with_two_ids_is_known_by_the_first() -> None:
    """Engines that echo the second one would look like stuttering engines."""

    async def scenario(harness: RelayHarness) -> None:
        callers = harness.host._options.callers
        headers = CIMultiDict(
            [("Host", HOST), ("X-Request-Id", "first"), ("X-Request-Id", "second")]
        )
        async with harness.session.post(
            f"http://{callers.text}/once/a", headers=headers
        ) as response:
            assert response.status == 200
            assert response.headers.getall("X-Request-Id") == ["first"]
        runs = [engine.runs for engine in harness.backend_servers]
        assert sorted(runs) == [[], ["first"]]

    run_scenario(scenario)


@pytest.mark.parametrize("cut", [False, True])
@pytest.mark.parametrize("time", CopyTime)
def test_a_copy_is_not_taken_for_an_answer_to_a_stream(
    time: CopyTime, cut: bool
) -> None:
    """Prefills and runs of model engines, sound and failing in turn.

    Copies of two streams are followed by two streams without: a run is sent
    behind its reservation, so that each copy of one would fail it.
    """

    async def scenario(harness: RelayHarness, judge: Judge) -> None:
        engines = [harness.prefill_engine, *harness.decode_engines]
        copies = CopyMaker(time, cut=cut)
        for engine in engines:
            engine.events = 2
            judge.use(engine, copies.plan)
        for number in range(48):
            copies.active = number % 4 < 2
            harness.prefill_engine.full = number % 4 == 1
            for engine in harness.decode_engines:
                engine.prefills_expired = number % 4 == 3
            await judge.send("tale" if number % 3 else "story")
        assert judge.outcomes["200"] > 0
        assert harness.proxies_by_id[harness.prefill_engine.id].copies > 5
        # A prefill result that a run names was made for its request.
        prefilled_ids = [
            headers["x-request-id"]
            for _, _, headers, _ in harness.prefill_engine.received
        ]
        for engine in harness.decode_engines:
            for _, _, headers, _ in engine.received:
                handle = headers.get("x-kv-source", "").rpartition("/k")[2]
                if handle:
                    assert prefilled_ids[int(handle) - 1] == headers["x-request-id"]

    stutter_scenario(scenario)


def test_few_requests_are_lost_at_servers_that_copy_each_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Half of the requests met a copy, as each connection was used twice."""
    monkeypatch.setattr(engine_pool, "NO_REUSE_S", NO_REUSE_S)

    async def scenario(harness: RelayHarness, judge: Judge) -> None:
        for engine in harness.backend_servers:
            judge.use(engine, lambda exchange: Copy(exchange.answer))
        for _ in range(60):
            await judge.send("once")
        assert judge.outcomes["200"] >= 58
        assert judge.outcomes["502"] == 60 - judge.outcomes["200"]

    stutter_scenario(scenario)
