"""Tests of streams that break off and go on at an engine that answers oddly.

They guard against any part of an odd answer reaching the caller, and against
a stream that ends there as complete. The odd engine is a real server, called
by the HTTP client.
"""

import asyncio

import pytest

from kumquat_core.engine_client import HttpEngineClient
from kumquat_core.http_client import create_session
from kumquat_core.result_codes import RouterError
from kumquat_lab.model_harness import RESPONSE_TOKENS, ModelHarness

IDLE_TIMEOUT_S = 0.2
EVENT_STREAM = "Content-Type: text/event-stream\r\n"
END = "data: [DONE]\n\n"


def events(first: int, last: int) -> str:
    return "".join(
        f'data: {{"i":{token.position},"t":{token.literal}}}\n\n'
        for token in RESPONSE_TOKENS[first:last]
    )


def response(status: str, headers: str, body: str) -> str:
    length = f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status}\r\n{headers}{length}\r\n{body}"


ODD_ANSWERS = {
    "error": response("500 Error", "", "{}"),
    "refusal": response("503 Busy", "Retry-After: 1\r\n", '{"error": "wrong role"}'),
    "no cache": response("404 Absent", "", "{}"),
    "evicted": response("410 Gone", "", "{}"),
    "stale fence": response("412 Stale", "", "{}"),
    "memory full": response("507 Full", "", "{}"),
    "redirect": response("302 Found", "Location: /v1/report\r\n", ""),
    "no content": "HTTP/1.1 204 None\r\n\r\n",
    "JSON": response("200 OK", "Content-Type: application/json\r\n", '{"a": 1}\n\n'),
    "tokens as text": response(
        "200 OK", "Content-Type: text/plain\r\n", events(3, 6) + END
    ),
    "head only": f"HTTP/1.1 200 OK\r\n{EVENT_STREAM}\r\n",
    "half a head": "HTTP/1.1 200 OK\r\nContent-",
    "empty body": response("200 OK", EVENT_STREAM, ""),
    "end only": response("200 OK", EVENT_STREAM, END),
    "from the start": response("200 OK", EVENT_STREAM, events(0, 6) + END),
    "repeated token": response("200 OK", EVENT_STREAM, events(2, 6) + END),
    "skipped token": response("200 OK", EVENT_STREAM, events(4, 6) + END),
    "error event": response("200 OK", EVENT_STREAM, "event: error\ndata: {}\n\n"),
    "end first": response("200 OK", EVENT_STREAM, END + events(3, 6)),
    "two heads": f"HTTP/1.1 200 OK\r\nX: 1HTTP/1.1 200 OK\r\n{EVENT_STREAM}\r\n"
    + events(3, 6)
    + END,
}


def run_stream(answer: str, *, closes: bool, odd_urls: set[str]) -> ModelHarness:
    """Run a request whose stream breaks at d1 after three tokens."""
    harness = ModelHarness()
    harness.engines.cut_after["http://d1"] = 3
    fake_decode = harness.engines.decode

    async def run() -> None:
        ended = asyncio.Event()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer.encode())
            if not closes:
                await ended.wait()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with create_session(1.0) as session:
            client = HttpEngineClient(session, IDLE_TIMEOUT_S)

            async def decode(url, request_id, max_tokens, start_index):
                odd = url in odd_urls
                source = client.decode if odd else fake_decode
                if odd:
                    url = f"http://127.0.0.1:{port}"
                async for batch in source(url, request_id, max_tokens, start_index):
                    yield batch

            harness.engines.decode = decode
            try:
                await harness.run()
            finally:
                ended.set()
                server.close()
                await asyncio.sleep(0.01)

    asyncio.run(run())
    return harness


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("name", ODD_ANSWERS)
def test_stream_goes_on_at_a_third_engine(name, closes):
    harness = run_stream(ODD_ANSWERS[name], closes=closes, odd_urls={"http://d2"})
    assert harness.sink.tokens == RESPONSE_TOKENS


@pytest.mark.parametrize("name", set(ODD_ANSWERS) - {"end only"})
def test_stream_without_a_third_engine_ends_as_failed(name):
    with pytest.raises(RouterError):
        run_stream(ODD_ANSWERS[name], closes=True, odd_urls={"http://d2", "http://d3"})


def test_output_that_ends_with_the_break_is_complete_when_two_engines_say_so():
    """The first engine may break off between the last token and the end."""
    end = ODD_ANSWERS["end only"]
    harness = run_stream(end, closes=True, odd_urls={"http://d2", "http://d3"})
    assert harness.sink.tokens == RESPONSE_TOKENS[:3]


def test_tokens_before_a_wrong_one_are_delivered_once():
    answer = response("200 OK", EVENT_STREAM, events(3, 4) + events(3, 6) + END)
    harness = run_stream(answer, closes=True, odd_urls={"http://d2"})
    assert harness.sink.tokens == RESPONSE_TOKENS
