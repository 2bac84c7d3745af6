"""Guards against connections that are reset when the listener closes."""

import asyncio
import socket
from collections.abc import Callable

import pytest
import uvloop
from test_caller_api import SETTINGS, make_api
from test_planned_stop import HeldModelPath, SimpleOptions, request_bytes

from kumquat_core.clock import SystemClock
from kumquatrouter.drain import Drain


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_connections_that_the_kernel_holds_are_answered_at_a_stop(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """They had arrived since the loop last accepted any."""

    async def run() -> None:
        drain = Drain(100, SystemClock(), 0.0)
        path = HeldModelPath()
        api = make_api(path, drain)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        listen = type(SETTINGS.caller_listen)(ip="127.0.0.1", port=port)
        api._options = SimpleOptions(api._options, listen)
        await api.start()
        drain.begin_stop()
        drain.cut_requests("drain_limit")
        socks = []
        for _ in range(5):
            sock = socket.create_connection((listen.ip, listen.port))
            sock.sendall(request_bytes())
            socks.append(sock)
        stop = asyncio.ensure_future(api.close(2.0))
        statuses = []
        for sock in socks:
            reader, writer = await asyncio.open_connection(sock=sock)
            try:
                statuses.append((await reader.read())[:12])
            except ConnectionError as error:
                statuses.append(type(error).__name__)
            writer.close()
        await stop
        assert statuses == [b"HTTP/1.1 503"] * 5
        assert path.calls == 0

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run())
