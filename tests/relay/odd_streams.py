"""Answers of a model engine that do not continue a stream that broke off.

Each answers a request that names the last event, ``after``, that its caller
has. The seal and the text ``odd`` show an answer that was passed on.
"""

from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web

__all__ = ["ODD_ANSWERS", "OddAnswer", "complete_answer"]

OddAnswer = Callable[
    [web.BaseRequest, Mapping[str, str], int], Awaitable[web.StreamResponse]
]
EVENT_STREAM = "text/event-stream"


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: e{number}\n\n".encode()


def complete_answer(status: int, content_type: str = "text/plain") -> OddAnswer:
    """Return an answer with a body, as long as an event stream it is not."""

    async def answer(
        request: web.BaseRequest, headers: Mapping[str, str], after: int
    ) -> web.StreamResponse:
        return web.Response(
            status=status,
            headers={**headers, "Content-Type": content_type},
            body=b"id: %d\ndata: odd\n\n" % (after + 1),
        )

    return answer


def _stream(
    body: Callable[[int], bytes],
    *,
    breaks: bool = False,
    status: int = 200,
    more_headers: Mapping[str, str] | None = None,
) -> OddAnswer:
    """Return an event stream with ``body(after)``, ended or broken off."""

    async def answer(
        request: web.BaseRequest, headers: Mapping[str, str], after: int
    ) -> web.StreamResponse:
        sent = {**headers, "Content-Type": EVENT_STREAM, **(more_headers or {})}
        response = web.StreamResponse(status=status, headers=sent)
        response.enable_chunked_encoding()
        await response.prepare(request)
        if data := body(after):
            await response.write(data)
        if breaks:
            assert request.transport is not None
            request.transport.abort()
        else:
            await response.write_eof()
        return response

    return answer


async def _closed_before_the_head(
    request: web.BaseRequest, headers: Mapping[str, str], after: int
) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def _refusal(
    request: web.BaseRequest, headers: Mapping[str, str], after: int
) -> web.StreamResponse:
    return web.Response(status=503, headers={**headers, "X-Not-Executed": "1"})


ODD_ANSWERS: dict[str, OddAnswer] = {
    "status_500": complete_answer(500),
    "status_503": complete_answer(503),
    "status_404": complete_answer(404),
    "status_429": complete_answer(429),
    "status_302": complete_answer(302),
    "status_204": complete_answer(204),
    "refusal": _refusal,
    "error_as_events": _stream(lambda after: _event(after + 1), status=500),
    "error_404_as_events": _stream(lambda after: _event(after + 1), status=404),
    "other_type": complete_answer(200, "application/json"),
    "encoded": _stream(
        lambda after: _event(after + 1), more_headers={"Content-Encoding": "gzip"}
    ),
    "no_head": _closed_before_the_head,
    "head_only": _stream(lambda after: b"", breaks=True),
    "empty": _stream(lambda after: b""),
    "comments_only": _stream(lambda after: b": odd\n\n"),
    "repeats": _stream(lambda after: _event(after) + _event(after + 1)),
    "from_the_start": _stream(
        lambda after: b"".join(_event(number) for number in range(1, 6))
    ),
    "skips": _stream(lambda after: _event(after + 2)),
    "no_ids": _stream(lambda after: b"data: odd\n\n"),
    "not_a_number": _stream(lambda after: b"id: odd\ndata: odd\n\n"),
    "goes_back_later": _stream(lambda after: _event(after + 1) + _event(after)),
}
