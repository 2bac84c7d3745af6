"""Shared parts of the HTTP clients of external systems."""

import asyncio
from typing import Any

import aiohttp

from .result_codes import ResultCode, RouterError

__all__ = ["TRANSPORT_ERRORS", "create_session", "request_json"]

TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError, OSError)

# One host holds about 510 streams on average at the target size; the limit
# leaves room for peaks without an unbounded number of sockets.
MAX_CONNECTIONS = 8192
KEEPALIVE_S = 30.0


def create_session(
    connect_timeout_s: float, *, reuse_connections: bool = True
) -> aiohttp.ClientSession:
    """Return a client session without a total timeout.

    A session that does not reuse connections sends each request once.
    """
    if reuse_connections:
        connector = aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_S
        )
    else:
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, force_close=True)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s)
    session = aiohttp.ClientSession(connector=connector, timeout=timeout)
    if not reuse_connections:
        # aiohttp repeats PUT and DELETE once after a broken connection, also
        # on a new one, and has no public option against it.
        session._retry_connection = False
    return session


async def request_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    body: Any = None,
    timeout_s: float,
    error_code: ResultCode,
) -> tuple[int, Any]:
    """Send a request and return the status and the decoded JSON body.

    Raises ``RouterError`` with ``error_code`` when no answer arrives in
    ``timeout_s`` seconds or the answer is not JSON.
    """
    try:
        async with asyncio.timeout(timeout_s):
            async with session.request(method, url, json=body) as response:
                return response.status, await response.json(content_type=None)
    except TRANSPORT_ERRORS as error:
        raise RouterError(
            error_code, f"{method} failed: {type(error).__name__}"
        ) from error
    except ValueError as error:
        raise RouterError(error_code, f"{method} answered no JSON") from error
