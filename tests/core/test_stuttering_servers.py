"""Tests with servers that write an earlier response once more.

They guard against a copy that is taken for the response to the next call on
its connection: passed on, believed as a refusal, or read as a call's result.
The copy arrives when the next request was sent, whole or cut, with or without
the id of its call.
"""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from kumquat_core import http_client
from kumquat_core.engine_client import (
    EngineCommand,
    HttpEngineClient,
    PrefillResult,
)
from kumquat_core.host_list_client import HttpHostListClient
from kumquat_core.http_client import create_session
from kumquat_core.object_client import HttpObjectClient
from kumquat_core.result_codes import Execution, ResultCode, RouterError
from kumquat_core.table_client import HttpTableClient, Write

CALL_ID = b"x-kumquat-call-id:"
RESULT = PrefillResult("p", 5, 0, 1, 900)


@dataclass
class StutteringServer:
    """Answers in the order of ``answers``; before each it writes a copy.

    ``copy`` makes the bytes of the copy from those of the last response on
    the connection.
    """

    answers: list[tuple[int, bytes]]
    copy: Callable[[bytes], bytes]
    returns_ids: bool = True
    extra_header: bytes = b"Retry-After: 1"
    connections: int = 0
    requests: list[bytes] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        last = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(_length_of(head))
                self.requests.append(head)
                answer = self._answer(head, *self.answers.pop(0))
                writer.write((self.copy(last) if last else b"") + answer)
                last = answer
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()

    def _answer(self, head: bytes, status: int, body: bytes) -> bytes:
        lines = [b"HTTP/1.1 %d Text" % status]
        for line in head.split(b"\r\n"):
            if self.returns_ids and line.lower().startswith(CALL_ID):
                lines.append(line)
        lines += [b"Content-Length: %d" % len(body), self.extra_header]
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _length_of(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def without_id(answer: bytes) -> bytes:
    lines = answer.split(b"\r\n")
    return b"\r\n".join(x for x in lines if not x.lower().startswith(CALL_ID))


Call = Callable[[Any], Awaitable[Any]]


def run_calls(server: StutteringServer, calls: list[Call]) -> list[Any]:
    """Return the results or errors of calls made one after the other."""

    async def run() -> list[Any]:
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        results: list[Any] = []
        async with create_session(1.0) as session:
            clients = Clients(session, f"http://127.0.0.1:{port}")
            for call in calls:
                try:
                    results.append(await call(clients))
                except RouterError as error:
                    results.append(error)
        listener.close()
        return results

    return asyncio.run(run())


class Clients:
    """All clients of one server."""

    def __init__(self, session, url: str) -> None:
        self.url = url
        self.engine = HttpEngineClient(session, 0.5)
        self.table = HttpTableClient(session, url, 0.5)
        self.objects = HttpObjectClient(session, url, 0.5)
        self.host_list = HttpHostListClient(session, url, 0.5)

    async def prefill(self) -> Any:
        return await self.engine.prefill(self.url, "r", "m", "a b", 0.5)

    async def import_cache(self) -> Any:
        return await self.engine.import_cache(self.url, "r", "m", "u", RESULT, 1, 0.5)

    async def decode(self) -> Any:
        batches = self.engine.decode(self.url, "r", 1, 0)
        return [token.text async for batch in batches for token in batch]

    async def cancel(self) -> Any:
        return await self.engine.cancel(self.url, "r")

    async def report(self) -> Any:
        return (await self.engine.report(self.url, fresh=True)).held_pieces

    async def events(self) -> Any:
        return [e.sequence for e in await self.engine.cache_events(self.url, 0)]

    async def command(self) -> Any:
        return await self.engine.send_command(self.url, EngineCommand(1, "set_role"))

    async def row(self) -> Any:
        row = await self.table.get("t", "k")
        return None if row is None else row.version

    async def transact(self) -> Any:
        return (await self.table.transact([Write("t", "k", 0, {})])).committed

    async def stored(self) -> Any:
        found = await self.objects.get("o")
        return None if found is None else found.content

    async def hosts(self) -> Any:
        return [host.host_id for host in (await self.host_list.fetch()).hosts]

    async def put(self) -> Any:
        return await self.objects.put("o", b"x", None)


def document(**fields: object) -> bytes:
    return json.dumps(fields).encode()


def report(held: int) -> bytes:
    return document(
        as_of_ms=1,
        role="decode",
        models=[],
        total_pieces=9,
        held_pieces=held,
        requests=[],
        prefill_queue=0,
        step_ms=1.0,
    )


def prefilled(prefill_id: str) -> bytes:
    return document(
        prefill_id=prefill_id, tokens=5, cached_tokens=0, pieces=1, expires_ms=9
    )


def hosts(host_id: str) -> bytes:
    host = {
        "host_id": host_id,
        "address": "127.0.0.1",
        "peer_port": 1,
        "failure_domain": "f",
        "region": "r",
        "state": "live",
    }
    return document(hosts=[host], backend_servers=[])


def tokens(text: str) -> bytes:
    return f'data: {{"i": 0, "t": "{text}"}}\n\ndata: [DONE]\n\n'.encode()


EMPTY = (200, b"{}")
# A call, the first response and the second one, and the result of the second.
CASES = {
    "prefill refused": ("prefill", (410, b"{}"), (200, prefilled("q")), "q"),
    "prefill": ("prefill", (200, prefilled("p")), (200, prefilled("q")), "q"),
    "import refused": ("import_cache", (507, b"{}"), EMPTY, None),
    "import done": ("import_cache", EMPTY, (507, b"{}"), ResultCode.ENGINE_MEMORY_FULL),
    "decode refused": ("decode", (410, b"{}"), (200, tokens("b")), ["b"]),
    "decode": ("decode", (200, tokens("a")), (200, tokens("b")), ["b"]),
    "cancel": ("cancel", EMPTY, (500, b"{}"), ResultCode.ENGINE_FAILED),
    "report": ("report", (200, report(1)), (200, report(2)), 2),
    "events": (
        "events",
        (200, document(events=[])),
        (200, document(events=[{"sequence": 7, "kind": "stored", "prefix": 1}])),
        [7],
    ),
    "command refused": ("command", (412, b"{}"), EMPTY, None),
    "command": ("command", EMPTY, (412, b"{}"), ResultCode.STALE_FENCE),
    "row": (
        "row",
        (200, document(version=1, value={})),
        (200, document(version=2, value={})),
        2,
    ),
    "absent row": ("row", (404, b"{}"), (200, document(version=2, value={})), 2),
    "conflict": (
        "transact",
        (409, document(failed=[0])),
        (200, document(versions=[1])),
        True,
    ),
    "commit": (
        "transact",
        (200, document(versions=[1])),
        (409, document(failed=[0])),
        False,
    ),
    "object": ("stored", (200, b"old"), (200, b"new"), b"new"),
    "absent object": ("stored", (404, b""), (200, b"new"), b"new"),
    "hosts": ("hosts", (200, hosts("a")), (200, hosts("b")), ["b"]),
    "no hosts": ("hosts", (503, b"{}"), (200, hosts("b")), ["b"]),
    "put refused": ("put", (412, b""), (200, b""), True),
    "put": ("put", (200, b""), (412, b""), False),
}
UNPROVED = {
    ResultCode.ENGINE_FAILED,
    ResultCode.TRANSFER_FAILED,
    ResultCode.STREAM_INTERRUPTED,
    ResultCode.STORE_UNAVAILABLE,
}


def outcome_of(result: Any) -> Any:
    match result:
        case RouterError(code=code):
            return code
        case PrefillResult(prefill_id=prefill_id):
            return prefill_id
    return result


def check(case: str, copy: Callable[[bytes], bytes], *, returns_ids: bool) -> None:
    name, first, second, expected = CASES[case]
    third = second
    server = StutteringServer([first, second, third], copy, returns_ids)
    results = run_calls(server, [getattr(Clients, name)] * 3)
    for result in results[1:]:
        outcome = outcome_of(result)
        assert outcome == expected or outcome in UNPROVED, (case, outcome)
        if outcome != expected and outcome is not ResultCode.STORE_UNAVAILABLE:
            assert result.execution is Execution.UNKNOWN


@pytest.mark.parametrize("returns_ids", [True, False])
@pytest.mark.parametrize("copy", [bytes, without_id], ids=["as it was", "without id"])
@pytest.mark.parametrize("case", CASES)
def test_whole_copy_is_not_the_response_to_the_next_call(case, copy, returns_ids):
    check(case, copy, returns_ids=returns_ids)


@pytest.mark.parametrize("case", ["import refused", "decode refused", "conflict"])
def test_copy_that_is_cut_anywhere_is_not_part_of_the_next_response(case):
    """Joined with the response after it, a cut copy can be one valid head:
    the status of the copy with the id of the response."""
    _, (_, body), _, _ = CASES[case]
    size = len(
        StutteringServer([], bytes)._answer(CALL_ID + b" 0123456789ab-ff", 500, body)
    )
    for cut in range(1, size):
        check(case, lambda answer, cut=cut: answer[:cut], returns_ids=True)


def test_sound_server_is_called_over_one_connection():
    answers = [(200, report(number)) for number in range(5)]
    server = StutteringServer(answers, lambda _: b"")
    assert run_calls(server, [Clients.report] * 5) == [0, 1, 2, 3, 4]
    assert server.connections == 1


def test_version_in_a_header_of_a_proxy_is_not_a_second_head():
    answers = [(200, report(number)) for number in range(2)]
    server = StutteringServer(answers, lambda _: b"")
    server.extra_header = b"Via: HTTP/1.1 proxy, 1.1 other"
    assert run_calls(server, [Clients.report] * 2) == [0, 1]


def test_each_call_has_its_own_id_although_the_request_is_the_same():
    server = StutteringServer([EMPTY] * 3, lambda _: b"")
    run_calls(server, [Clients.import_cache] * 3)
    ids = [
        line
        for head in server.requests
        for line in head.lower().split(b"\r\n")
        if line.startswith(CALL_ID)
    ]
    assert len(set(ids)) == 3


def test_server_without_ids_gets_a_connection_for_each_call():
    answers = [(200, report(number)) for number in range(3)]
    server = StutteringServer(answers, lambda _: b"", returns_ids=False)
    assert run_calls(server, [Clients.report] * 3) == [0, 1, 2]
    assert server.connections == 3


def test_connection_with_an_unproved_response_is_never_used_again():
    answers = [(200, report(number)) for number in range(3)]
    server = StutteringServer(answers, bytes)
    results = run_calls(server, [Clients.report] * 3)
    assert isinstance(results[1], RouterError)
    assert results[2] == 2
    assert server.connections == 2


def test_no_connection_is_reused_for_a_while_after_a_copy():
    """Every second call to a server that went on to write copies failed."""
    answers = [(200, report(number)) for number in range(10)]
    server = StutteringServer(answers, bytes)
    results = run_calls(server, [Clients.report] * 10)
    assert [n for n, x in enumerate(results) if isinstance(x, RouterError)] == [1]
    assert server.connections == 9


def test_connections_are_reused_again_after_that_time(monkeypatch):
    monkeypatch.setattr(http_client, "NO_REUSE_S", 0.0)
    copies = iter([bytes] + [lambda _: b""] * 9)
    answers = [(200, report(number)) for number in range(10)]
    server = StutteringServer(answers, lambda answer: next(copies)(answer))
    results = run_calls(server, [Clients.report] * 10)
    assert isinstance(results[1], RouterError)
    assert results[2:] == list(range(2, 10))
    assert server.connections == 2


def test_copy_of_one_server_does_not_concern_another():
    async def run() -> int:
        servers = [
            StutteringServer([(200, report(n)) for n in range(6)], copy)
            for copy in (bytes, lambda _: b"")
        ]
        listeners = [
            await asyncio.start_server(s.serve, "127.0.0.1", 0) for s in servers
        ]
        async with create_session(1.0) as session:
            for listener in listeners:
                port = listener.sockets[0].getsockname()[1]
                clients = Clients(session, f"http://127.0.0.1:{port}")
                for _ in range(6):
                    with contextlib.suppress(RouterError):
                        await clients.report()
        for listener in listeners:
            listener.close()
        return servers[1].connections

    assert asyncio.run(run()) == 1
