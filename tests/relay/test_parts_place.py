"""One body in very many parts is read at a time; the others are refused."""

import asyncio

from kumquat_core.intake.byte_budget import Holding
from kumquat_core.intake.parts_place import PartsPlace
from kumquat_relay.body_limit import ANSWER_BODY

from .chunk_sender import request_head
from .flooding_server import chunk
from .relay_harness import HOST, RelayHarness, run_scenario

MORE_PARTS = ANSWER_BODY.free_parts + 1024


def test_a_place_is_free_once_its_body_has_left() -> None:
    place, first, second = PartsPlace(), Holding(), Holding()
    assert place.take(first)
    assert place.take(first)
    assert not place.take(second)
    place.leave(second)
    assert not place.take(second)
    place.leave(first)
    assert place.take(second)


def test_a_second_body_in_very_many_chunks_is_refused_meanwhile() -> None:
    """Guards against callers that take the event loop together."""

    async def scenario(harness: RelayHarness) -> None:
        address = harness.options.callers
        connections = []
        for name in ("first", "second"):
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            connections.append((reader, writer))
            writer.write(request_head(HOST, name) + chunk(b"b") * MORE_PARTS)
            if name == "first":
                await harness.wait_until(lambda: _place(harness)._holder is not None)
        (first, first_writer), (second, second_writer) = connections
        async with asyncio.timeout(10.0):
            head = (await second.read()).partition(b"\r\n\r\n")[0].lower()
            assert head.startswith(b"http/1.1 503 ")
            assert b"retry-after:" in head
            first_writer.write(b"0\r\n\r\n")
            assert (await first.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        runs = [run for server in harness.backend_servers for run in server.runs]
        assert runs == ["first"]
        assert _place(harness)._holder is None
        first_writer.close()
        second_writer.close()

    run_scenario(scenario)


def _place(harness: RelayHarness) -> PartsPlace:
    gate = harness.host._callers._gate
    return gate._parts_place
