"""Property test: streams whose two or three engines answer in any odd way.

Guards against events that are missing, come twice or belong to another answer,
and against streams that look complete although they are not.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from aiohttp import web
from hypothesis import given, settings, strategies as st

from kumquat_relay.host_retry_budget import RetryBudgetSettings

from .odd_streams import ODD_ANSWERS, OddAnswer
from .raw_answers import RawAnswer, exchange
from .relay_harness import LLM, RelayHarness, configuration
from .scripted_peer import reset_transport

EVENTS = [f"id: {n}\ndata: e{n}\n\n".encode() for n in range(1, 6)]
WHOLE = b"".join(EVENTS)
COMMENT = b": odd\n\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
FRAMINGS = ("chunked", "length", "none", "none")
BREAKS = ("reset", "closed", "closed_in_event", "closed_in_event", "reset_in_event")


@dataclass(frozen=True)
class Run:
    """An engine's true events up to a break; ``whole`` sends all that is left.

    Without a length, only an end within an event or a reset shows the break.
    """

    events: int
    end: str
    framing: str
    comment: bool
    interim: bool
    spread: bool

    async def __call__(
        self, request: web.BaseRequest, headers: Mapping[str, str], after: int
    ) -> web.StreamResponse:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        end = "reset" if (self.end, self.framing) == ("closed", "none") else self.end
        left = EVENTS[after:]
        parts = left if end == "whole" else left[: min(self.events, len(left) - 1)]
        parts = [COMMENT, *parts] if self.comment else parts
        transport.write(self._head(headers, sum(map(len, left)) + len(COMMENT)))
        for part in [*parts, *([b"id: 99\nda"] if end.endswith("in_event") else [])]:
            transport.write(self._framed(part))
            if self.spread:
                await asyncio.sleep(0.001)
        if end == "whole" and self.framing == "chunked":
            transport.write(b"0\r\n\r\n")
        if end == "whole" and self.framing == "length" and not self.comment:
            transport.write(COMMENT)
        if end.startswith("reset"):
            # What was written has to arrive before the reset discards it.
            await asyncio.sleep(0.005)
            reset_transport(transport)
        transport.close()
        return web.Response()

    def _head(self, headers: Mapping[str, str], length: int) -> bytes:
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: text/event-stream", "Connection: close"]
        if self.framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
        elif self.framing == "length":
            lines.append(f"Content-Length: {length}")
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
        return INTERIM + head if self.interim else head

    def _framed(self, part: bytes) -> bytes:
        if self.framing != "chunked":
            return part
        return b"%x\r\n%s\r\n" % (len(part), part)


@dataclass(frozen=True)
class Odd:
    """An odd answer to a request for the rest, else the whole stream."""

    kind: str

    async def __call__(
        self, request: web.BaseRequest, headers: Mapping[str, str], after: int
    ) -> web.StreamResponse:
        answer: OddAnswer = ODD_ANSWERS[self.kind]
        if not after:
            answer = Run(0, "whole", "chunked", False, False, False)
        return await answer(request, headers, after)


def runs(*ends: str) -> st.SearchStrategy[Run]:
    return st.builds(
        Run,
        events=st.integers(0, 3),
        end=st.sampled_from(ends),
        framing=st.sampled_from(FRAMINGS),
        comment=st.booleans(),
        interim=st.booleans(),
        spread=st.booleans(),
    )


ODD = st.builds(Odd, st.sampled_from(sorted(ODD_ANSWERS)))
ANSWERS = st.tuples(
    runs(*BREAKS), st.one_of(ODD, runs(*BREAKS, "whole")), st.one_of(ODD, runs("whole"))
)


class OddEngines:
    """A host whose engines answer one stream after the other oddly."""

    def __init__(self) -> None:
        self._harness = RelayHarness(decode_engines=3)
        self._harness.retries = RetryBudgetSettings(10.0, 10.0, 10_000.0)
        self._runner = asyncio.Runner()
        self._round = 0
        # Complete streams by the number of answers that their engines gave.
        self.complete: Counter[int] = Counter()

    def __enter__(self) -> "OddEngines":
        self._runner.run(self._start())
        return self

    def __exit__(self, *_: object) -> None:
        self._runner.run(self._harness.__aexit__())
        self._runner.close()

    async def _start(self) -> None:
        await self._harness.__aenter__()
        document = configuration(version=4)
        for route in document["routes"]:
            route["max_attempts"] = 3
        self._harness.store.put("op", "config", document)
        state = self._harness.host._parts.cluster_state
        await self._harness.wait_until(lambda: state.routes.version == 4)

    def send(self, answers: Sequence[OddAnswer], version: str) -> RawAnswer:
        """Send a stream that engines answer like this, then soundly."""
        return self._runner.run(self._send(answers, version))

    async def _send(self, answers: Sequence[OddAnswer], version: str) -> RawAnswer:
        await self._renew_engines()
        left = list(answers)
        for engine in self._harness.decode_engines:
            engine.odd_answers = engine.odd_first_answers = left
        harness = self._harness
        # Engines that end under the same request count as its crashes.
        answer = await exchange(
            harness.host._options.callers,
            "story",
            harness.next_request_id(),
            version,
            f"body{self._round}".encode(),
        )
        if answer.complete and answer.status == 200:
            self.complete[len(answers) - len(left)] += 1
        return answer

    async def _renew_engines(self) -> None:
        """Replace the engines: hosts avoid those that have failed."""
        self._round += 1
        harness = self._harness
        for number, engine in enumerate(harness.decode_engines):
            harness.store.remove("servers", engine.id)
            engine.id = f"decode{number}.{self._round}"
            engine.born_ms += 1
            harness.store.put("servers", engine.id, engine.entry(LLM))
        registry = harness.host._parts.cluster_state.registry
        await harness.wait_until(
            lambda: all(
                registry.get(engine.id) is not None for engine in harness.decode_engines
            )
        )


def test_callers_read_a_part_of_the_true_events_or_all_of_them() -> None:
    """A stream is complete only with all events of its engines."""
    with OddEngines() as engines:

        @settings(max_examples=150, deadline=None, derandomize=True, database=None)
        @given(ANSWERS, st.sampled_from(["1.0", "1.1"]))
        def check(answers: Sequence[OddAnswer], version: str) -> None:
            answer = engines.send(answers, version)
            if not answer.status:
                # A reset discards what its caller has not read.
                assert version == "1.0" and not answer.rest, answer
                return
            if answer.status != 200:
                assert answer.complete and b"id:" not in answer.body, answer
                return
            events = answer.body.replace(COMMENT, b"")
            assert WHOLE.startswith(events), answer
            assert not answer.complete or events == WHOLE, answer
            assert not answer.rest

        check()
        # Some went on at a second and at a third engine.
        assert engines.complete[2] and engines.complete[3], engines.complete
