"""Tests of model engines that stop in the middle of an answer.

A head that ends early and is taken for a whole one gives callers an empty or
short success, and a cut control call an engine that was never reserved.
"""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterator, Sequence

import pytest

from kumquat_relay.engine_calls import NotExecutedError
from kumquat_relay.engine_connection import ConnectionBrokenError
from kumquat_relay.engine_registry import EngineRole
from kumquat_relay.host_retry_budget import RetryBudgetSettings

from .cut_answers import Answer, Cut, CutEnd, cutting_engines
from .fakes import FakeEngine
from .raw_answers import exchange
from .relay_harness import RelayHarness, run_scenario
from .test_copied_control_calls import calls_of, entry_of

EVENTS = 5
STREAM = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENTS + 1))
# All events are of one length.
FIRST_CHUNK = b"%x\r\n%s\r\n" % (len(STREAM) // EVENTS, STREAM[: len(STREAM) // EVENTS])
CHUNKED_BYTES = EVENTS * len(FIRST_CHUNK)
# Broken streams are resumed at once, so that more answers are cut.
AMPLE_RETRIES = RetryBudgetSettings(2.0, 10.0, 1000.0)
PROMISES = (408, 421, 429, 503)
CALLERS = 12
MAX_REQUESTS = 4000


class Cutter:
    """Cuts every third answer to one kind of call, after each byte in turn.

    ``lengths`` are counted from the end of the head, or from its begin if
    there are none; then there are as many as the head has bytes. With
    ``breaks_runs``, all first runs are cut within their second event.
    """

    def __init__(
        self,
        call: str,
        end: CutEnd,
        lengths: range | None = None,
        step: int = 1,
        *,
        breaks_runs: bool = False,
    ) -> None:
        self._call = call
        self._end = end
        self._lengths = lengths
        self._step = step
        self._breaks_runs = breaks_runs
        self._answers = 0
        self._next = 0
        self.cuts_by_kept: Counter[bool] = Counter()
        self.done = False

    def plan(self, answer: Answer) -> Cut | None:
        if self._breaks_runs and answer.call == "run":
            return Cut(len(answer.head) + len(FIRST_CHUNK) + 9, CutEnd.CLOSE)
        if self.done or answer.call != self._call or answer.status != 200:
            return None
        self._answers += 1
        if self._answers % 3:
            return None
        lengths = self._lengths or range(len(answer.head))
        begin = len(answer.head) if self._lengths else 0
        cut = Cut(begin + lengths[self._next], self._end)
        self.cuts_by_kept[answer.number > 1] += 1
        self._next += self._step
        self.done = self._next >= len(lengths)
        return cut


class Judge:
    """Sends streams and compares what callers get with what engines ran."""

    def __init__(self, harness: RelayHarness, *, unframed: bool = False) -> None:
        self._harness = harness
        self._unframed = unframed
        self.faults: list[str] = []
        self.outcomes: Counter[str] = Counter()

    async def send(self, route: str, version: str) -> None:
        """Send a request and record what is wrong with its answer."""
        request_id = self._harness.next_request_id()
        address = self._harness.host._options.callers
        try:
            answer = await exchange(address, route, request_id, version)
        except TimeoutError:
            self.faults.append(f"{request_id} on {route}: no answer")
            return
        engines = self._harness.decode_engines
        runs = sum(engine.runs.count(request_id) for engine in engines)
        outcome = f"{answer.status}" if answer.complete else "cut"
        self.outcomes[outcome] += 1
        seen = f"{request_id} on {route}: {outcome} {answer.body[-40:]!r}, {runs} runs"
        if answer.status == 200 and not STREAM.startswith(answer.body):
            self.faults.append(seen)
        # Without framing, an end between two events looks like any other.
        ends_well = self._unframed and answer.body.endswith(b"\n\n")
        if outcome == "200" and answer.body != STREAM and not ends_well:
            self.faults.append(seen)
        if outcome == "200" and answer.header("X-Request-Id") != request_id:
            self.faults.append(seen)
        if answer.status in PROMISES and runs:
            self.faults.append(seen)
        if route == "tale" and runs > 1:
            self.faults.append(seen)

    def check_sources(self) -> None:
        """Record runs that name a result or reservation of another request."""
        results = self._harness.prefill_engine.request_ids_by_handle
        for engine in self._harness.decode_engines:
            for _, _, headers, _ in engine.received:
                handle = headers.get("x-kv-source", "").rpartition("/")[2]
                if handle and results.get(handle) != headers["x-request-id"]:
                    self.faults.append(f"{headers['x-request-id']} names {handle}")
                hold = headers.get("x-kv-hold", "")
                if hold and hold not in engine.holds:
                    self.faults.append(f"{headers['x-request-id']} names {hold}")


def play(
    cutter: Cutter,
    engines_of: Callable[[RelayHarness], list[FakeEngine]],
    unframed: bool = False,
    routes: Sequence[str] = ("story", "tale"),
) -> Counter[str]:
    """Send streams until an answer was cut after each byte."""
    outcomes: Counter[str] = Counter()

    async def scenario(harness: RelayHarness) -> None:
        judge = Judge(harness, unframed=unframed)

        async def send_all(number: int) -> None:
            version = "1.0" if number % 3 == 0 else "1.1"
            while not cutter.done and judge.outcomes.total() < MAX_REQUESTS:
                await judge.send(routes[number % len(routes)], version)

        engines = engines_of(harness)
        async with cutting_engines(harness, engines, cutter.plan, unframed=unframed):
            await asyncio.gather(*(send_all(number) for number in range(CALLERS)))
        judge.check_sources()
        assert judge.faults == []
        outcomes.update(judge.outcomes)

    async def run() -> None:
        harness = RelayHarness(decode_engines=4)
        harness.retries = AMPLE_RETRIES
        async with harness:
            await scenario(harness)

    asyncio.run(run())
    assert cutter.done, outcomes
    return outcomes


def decode_engines(harness: RelayHarness) -> list[FakeEngine]:
    return list(harness.decode_engines)


def prefill_engines(harness: RelayHarness) -> list[FakeEngine]:
    return [harness.prefill_engine]


ENDS = pytest.mark.parametrize("end", [CutEnd.CLOSE, CutEnd.RESET])


@ENDS
def test_a_cut_head_of_a_stream_is_no_whole_answer(end: CutEnd) -> None:
    cutter = Cutter("run", end)
    outcomes = play(cutter, decode_engines)
    assert outcomes["200"] > 100
    assert min(cutter.cuts_by_kept[kept] for kept in (False, True)) > 20


@pytest.mark.parametrize("unframed", [False, True])
@ENDS
def test_a_cut_body_of_a_stream_is_no_whole_answer(end: CutEnd, unframed: bool) -> None:
    length = len(STREAM) if unframed else CHUNKED_BYTES
    outcomes = play(Cutter("run", end, range(length)), decode_engines, unframed)
    assert outcomes["200"] > 50
    assert outcomes["cut"] > 10


@ENDS
@pytest.mark.parametrize("part", ["head", "body"])
def test_a_cut_answer_to_a_resumed_stream_is_no_whole_answer(
    part: str, end: CutEnd
) -> None:
    """The caller has got the head and one event of the first run."""
    lengths = range(CHUNKED_BYTES - len(FIRST_CHUNK)) if part == "body" else None
    cutter = Cutter("resumed", end, lengths, breaks_runs=True)
    outcomes = play(cutter, decode_engines, routes=["story"])
    assert outcomes["200"] > 50
    assert outcomes["cut"] > 50


@ENDS
def test_a_cut_answer_to_a_reservation_is_no_reservation(end: CutEnd) -> None:
    """On kept connections, and on new ones as each is sent again there."""

    async def scenario(harness: RelayHarness) -> None:
        engine = harness.decode_engines[0]
        cuts: list[Answer] = []
        length: int | None = None

        def plan(answer: Answer) -> Cut | None:
            if length is None:
                return None
            cuts.append(answer)
            return Cut(length, end)

        async with cutting_engines(harness, [engine], plan):
            calls, entry = calls_of(harness), entry_of(harness, engine)
            for position in itertools.count():
                length = None
                reservation = await calls.reserve(entry, 5, 90)
                # The fake numbers its reservations by its calls.
                assert reservation == f"hold{len(engine.calls)}"
                length = position
                if cuts and length >= len(cuts[0].head) + len(reservation):
                    break
                with pytest.raises(NotExecutedError):
                    await calls.reserve(entry, 5, 90)
        assert len(cuts) > 100
        assert {answer.number > 1 for answer in cuts} == {False, True}

    run_scenario(scenario)


@ENDS
def test_a_cut_answer_to_a_prefill_is_no_result(end: CutEnd) -> None:
    """A request without a result runs elsewhere or is refused truthfully."""
    outcomes = play(Cutter("prefill", end), prefill_engines)
    assert set(outcomes) <= {"200", "503"}
    assert outcomes["200"] > outcomes["503"]


@pytest.mark.parametrize("call", ["run", "resumed", "prefill"])
def test_silence_within_a_head_is_no_answer(call: str) -> None:
    resumes = call == "resumed"
    cutter = Cutter(call, CutEnd.SILENCE, step=23, breaks_runs=resumes)
    engines = prefill_engines if call == "prefill" else decode_engines
    routes = ["story"] if resumes else ["story", "tale"]
    outcomes = play(cutter, engines, routes=routes)
    assert set(outcomes) <= {"200", "503", "504", "cut"}
    assert outcomes["200"] > 0


@pytest.mark.parametrize("call", ["report", "order", "release"])
@ENDS
def test_a_cut_head_is_no_answer_to_a_control_call(end: CutEnd, call: str) -> None:
    """An order or a release would look accepted without its whole answer."""

    async def scenario(harness: RelayHarness) -> None:
        engine = harness.decode_engines[0]
        lengths: Iterator[int] = iter(range(1000))
        head_bytes: list[int] = []

        def plan(answer: Answer) -> Cut:
            head_bytes.append(len(answer.head))
            return Cut(next(lengths), end)

        async with cutting_engines(harness, [engine], plan):
            entry = entry_of(harness, engine)
            dialect = harness.host._dialect
            method, target, headers, body = {
                "report": (*dialect.report_request(entry), b""),
                "order": dialect.role_command(entry, EngineRole.PREFILL, "h", 1, 0),
                "release": (*dialect.release_reservation(entry, "hold1"), b""),
            }[call]
            while not head_bytes or len(head_bytes) < head_bytes[0]:
                with pytest.raises(ConnectionBrokenError):
                    await harness.host._exchanges.call(
                        entry, method, target, headers, body, connect_timeout_s=0.5
                    )
            assert len(head_bytes) > 50

    run_scenario(scenario)
