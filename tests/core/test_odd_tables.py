"""Odd entries in the tables, objects and lists of the own interface."""

import asyncio
import base64
import json
import logging
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from kumquat_core.configuration import ServerState
from kumquat_core.host_list_client import HttpHostListClient
from kumquat_core.http_client import create_session
from kumquat_core.object_client import StoredObject
from kumquat_core.request_records import Record, RecordState, RecordStore
from kumquat_core.result_codes import RouterError
from kumquat_core.table_client import HttpTableClient, Row
from kumquat_core.ticket_checks import check_ticket_text
from kumquat_core.ticket_log import _parse_snapshot_content
from kumquat_core.ticket_page import parse_tickets

deterministic = settings(derandomize=True, max_examples=150, deadline=None)
DEEP = "[" * 10_000 + "]" * 10_000
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from([2**53 + 1, 10**400, "\ud800"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
HOST = {
    "host_id": "h1",
    "address": "127.0.0.1",
    "peer_port": 7000,
    "failure_domain": "a",
    "region": "r",
    "state": "live",
}
TICKET = {
    "position": 1,
    "ticket": {
        "number": 1,
        "author": "me",
        "objects": [{"kind": "pool", "name": "p", "state": None}],
    },
}
RECORD = Record(
    RecordState.DONE,
    "h.1.2",
    3,
    "hash",
    "http://127.0.0.1:80",
    False,
    5,
    {"status": 200, "content_type": "a/b", "body": base64.b64encode(b"x").decode()},
).to_document()


class Answers:
    """A server that answers each request with the same text."""

    def __init__(self) -> None:
        self.text = "{}"
        self.status = 200

    async def __aenter__(self) -> "Answers":
        self._runner = web.ServerRunner(web.Server(self._handle))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.url = f"http://127.0.0.1:{self._runner.addresses[0][1]}"
        self.session: aiohttp.ClientSession = create_session(1.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        return web.Response(text=self.text, status=self.status)


def odd_documents(document: dict[str, Any]) -> list[Any]:
    """Return documents with one odd field, and those that are none."""
    odd: list[Any] = [None, 7, [], "x", {}]
    for field in document:
        odd += [
            document | {field: value}
            for value in (None, [], {"a": 1}, "a\r\nb" * 1000, -1, True, 10**400)
        ]
        odd.append({key: document[key] for key in document if key != field})
    return odd


def test_good_hosts_are_listed_beside_odd_ones(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        async with Answers() as answers:
            client = HttpHostListClient(answers.session, answers.url, 1.0)
            valid = {"failure_domain", "region", "address"}
            odd = [
                item
                for item in odd_documents(HOST | {"host_id": "odd"})
                if not isinstance(item, dict)
                or all(isinstance(item.get(key), str) for key in valid) is False
                or item.get("peer_port") in (True, -1, 10**400)
                or item.get("state") != "live"
            ]
            odd += [HOST | {"peer_port": 65536}, HOST | {"peer_port": "80"}]
            second = HOST | {"host_id": "h2"}
            servers = [{"id": "s1", "state": "live"}, {"id": "s2", "state": 7}, 7]
            answers.text = json.dumps(
                {"hosts": [second, *odd, HOST], "backend_servers": servers}
            )
            for _ in range(3):
                found = await client.fetch()
                assert [host.host_id for host in found.hosts] == ["h2", "h1"]
                assert found.backend_states_by_id == {"s1": ServerState.LIVE}

    caplog.set_level(logging.WARNING)
    asyncio.run(scenario())
    lines = [item for item in caplog.records if item.msg == "listed_entry_unreadable"]
    assert 0 < len(lines) <= 20
    assert all(len(str(vars(item))) < 2000 for item in lines)


def test_known_host_that_turns_odd_stays_listed() -> None:
    async def scenario() -> None:
        async with Answers() as answers:
            client = HttpHostListClient(answers.session, answers.url, 1.0)
            document = {"hosts": [HOST], "backend_servers": []}
            answers.text = json.dumps(document)
            before = await client.fetch()
            document["hosts"] = [HOST | {"peer_port": 70_000}]
            answers.text = json.dumps(document)
            assert await client.fetch() == before
            document["hosts"] = []
            answers.text = json.dumps(document)
            assert (await client.fetch()).hosts == ()

    asyncio.run(scenario())


ODD_TEXTS = [
    DEEP,
    "",
    "7",
    "[]",
    "null",
    "{}",
    '{"hosts": 7, "backend_servers": []}',
    '{"hosts": {}, "backend_servers": []}',
    '{"rows": 7}',
    '{"rows": [7]}',
    '{"rows": [{"key": 7, "version": 1, "value": {}}]}',
    '{"rows": [{"key": "a", "version": 1e400, "value": {}}]}',
    '{"rows": [{"key": "a", "version": "1", "value": {}}]}',
    '{"version": 1, "value": []}',
    '{"version": null, "value": {}}',
    '{"version": ' + "9" * 5000 + ', "value": {}}',
    '{"versions": 7}',
    '{"versions": ["a"]}',
    '{"failed": 7}',
]


@pytest.mark.parametrize("status", [200, 409])
def test_odd_answers_are_typed_errors(status: int) -> None:
    async def scenario() -> None:
        async with Answers() as answers:
            answers.status = status
            table = HttpTableClient(answers.session, answers.url, 1.0)
            hosts = HttpHostListClient(answers.session, answers.url, 1.0)
            for text in ODD_TEXTS:
                answers.text = text
                for call in (
                    table.get("t", "k"),
                    table.scan("t", "", 10),
                    table.transact([]),
                    hosts.fetch(),
                ):
                    with pytest.raises(RouterError):
                        await call

    asyncio.run(scenario())


class OneRow:
    """A table with one row."""

    def __init__(self, value: Any) -> None:
        self.value = value

    async def get(self, table: str, key: str) -> Row:
        return Row(key, 1, self.value)


@deterministic
@given(
    value=st.sampled_from(odd_documents(RECORD))
    | st.tuples(st.sampled_from(["status", "content_type", "body"]), json_values).map(
        lambda item: RECORD | {"outcome": RECORD["outcome"] | {item[0]: item[1]}}
    )
)
def test_odd_record_is_left_out_or_usable(value: Any) -> None:
    stored = asyncio.run(RecordStore(OneRow(value), None).read("k"))
    record = getattr(stored, "record", None)
    if record is None:
        return
    assert isinstance(record.state, RecordState)
    json.dumps(record.to_document())
    match record.recorded_outcome():
        case Success(outcome):
            assert 100 <= outcome.status <= 599
            outcome.content_type.encode()
            assert isinstance(outcome.body, bytes)


@deterministic
@given(value=json_values | st.sampled_from(odd_documents(TICKET)))
def test_odd_ticket_is_a_typed_error(value: Any) -> None:
    match parse_tickets([value]):
        case Success([ticket]):
            assert 0 < ticket.position < 10**12
        case result:
            assert isinstance(result, Failure)


@pytest.mark.parametrize(
    "position", [float("inf"), float("nan"), "1e400", 10**400, -1, 0, True, None, 1.5]
)
def test_odd_position_is_a_typed_error(position: Any) -> None:
    assert isinstance(parse_tickets([TICKET | {"position": position}]), Failure)


@pytest.mark.parametrize("content", [DEEP.encode(), b"\xff", b"9" * 5000, b"", b"7"])
def test_odd_snapshot_is_a_typed_error(content: bytes) -> None:
    result = _parse_snapshot_content(StoredObject(content, "e"))
    assert isinstance(result, Failure)


@pytest.mark.parametrize("text", [DEEP, "9" * 5000, '{"a": 1e400}', "\ud800"])
def test_odd_ticket_text_is_an_error(text: str) -> None:
    result = check_ticket_text(text)
    assert isinstance(result, Failure)
    assert all(len(str(item)) < 500 for item in result.failure())


@pytest.mark.parametrize("value", ["1e400", "NaN", "1" + "0" * 400])
def test_odd_figure_in_a_ticket_is_an_error(value: str) -> None:
    ticket = json.dumps(
        {
            "number": 1,
            "author": "me",
            "objects": [
                {
                    "kind": "tenant",
                    "name": "t",
                    "state": {
                        "api_key_sha256": [],
                        "default_class": "c",
                        "weight": "@",
                        "max_concurrent": "#",
                    },
                }
            ],
        }
    )
    for text in (
        ticket.replace('"@"', value).replace('"#"', "5"),
        ticket.replace('"@"', "5").replace('"#"', value),
    ):
        assert isinstance(check_ticket_text(text), Failure)
