"""The client interface of plain backend servers, and its HTTP implementation.

The error code tells whether a byte of the request may have left this process:
``BACKEND_UNREACHABLE`` (not run) when no connection was established, and
``OUTCOME_UNKNOWN`` for every later failure.
"""

import asyncio
import contextlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import aiohttp

from .http_client import (
    LARGE_RESPONSE_BYTES,
    TRANSPORT_ERRORS,
    read_response_body,
    request_json,
)
from .intake.body_payload import BodyPayload
from .intake.response_room import ResponseRoom
from .proved_exchange import exchange
from .result_codes import ResultCode, RouterError

__all__ = ["BackendClient", "BackendRequest", "BackendResponse", "HttpBackendClient"]

FENCE_TIMEOUT_S = 2.0
# Responses of backend servers have some kilobytes; the memory of a host holds
# some tens of this size at once.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
FORWARDED_REQUEST_HEADERS = ("Content-Type", "Accept")


@dataclass(frozen=True)
class BackendRequest:
    """A call to a plain backend server; ``key`` and ``fence`` identify it.

    ``fence`` is the fencing token of the attempt: servers that check it refuse
    attempts with a lower one for the same key. A connection that the server
    neither accepts nor refuses in time is opened anew, ``connects`` times in
    all.
    """

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    key: str
    fence: int
    connects: int = 1


@dataclass(frozen=True)
class BackendResponse:
    """The complete response of a backend server."""

    status: int
    content_type: str
    body: bytes


class BackendClient(Protocol):
    """Calls that the router makes to plain backend servers."""

    async def send(
        self, url: str, request: BackendRequest, timeout_s: float
    ) -> BackendResponse:
        """Send a call once and return the complete response."""

    async def raise_fence(self, url: str, key: str, fence: int) -> bool:
        """Raise the fence of a key; return whether it was ever accepted."""


class HttpBackendClient:
    """Backend client over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, room: ResponseRoom | None = None
    ) -> None:
        self._session = session
        self._room = room

    async def send(
        self, url: str, request: BackendRequest, timeout_s: float
    ) -> BackendResponse:
        """Send a call once and return the complete response.

        The session must not reuse connections: a server may close an idle
        connection at any moment, and a request that fails for that reason
        cannot be distinguished from one that ran.
        """
        headers = {
            name: request.headers[name]
            for name in FORWARDED_REQUEST_HEADERS
            if name in request.headers
        }
        headers |= {
            "X-Request-Key": request.key,
            "X-Fence": str(request.fence),
        }
        try:
            async with asyncio.timeout(timeout_s):
                for _ in range(request.connects - 1):
                    with contextlib.suppress(aiohttp.ConnectionTimeoutError):
                        return await self._send_once(url, request, headers)
                return await self._send_once(url, request, headers)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise RouterError(
                ResultCode.BACKEND_UNREACHABLE, type(error).__name__
            ) from error
        except TRANSPORT_ERRORS as error:
            raise RouterError(
                ResultCode.OUTCOME_UNKNOWN, type(error).__name__
            ) from error

    async def _send_once(
        self, url: str, request: BackendRequest, headers: Mapping[str, str]
    ) -> BackendResponse:
        """Send a call over a new connection.

        Raises ``ConnectionTimeoutError`` only when nothing was sent.
        """
        async with exchange(
            self._session,
            request.method,
            url.rstrip("/") + "/" + request.path.lstrip("/"),
            data=BodyPayload(request.body),
            headers=headers,
        ) as response:
            body = await read_response_body(response, MAX_RESPONSE_BYTES, self._room)
            content_type = response.headers.get("Content-Type", "")
            result = BackendResponse(response.status, content_type, body)
            if self._room is not None and len(body) > LARGE_RESPONSE_BYTES:
                # It is held while its record is written.
                self._room.count_until_unused(result, len(body))
            return result

    async def raise_fence(self, url: str, key: str, fence: int) -> bool:
        """Raise the fence of a key; return whether it was ever accepted."""
        status, document = await request_json(
            self._session,
            "POST",
            url.rstrip("/") + "/fence",
            body={"key": key, "fence": fence},
            timeout_s=FENCE_TIMEOUT_S,
            error_code=ResultCode.OUTCOME_UNKNOWN,
        )
        if status != 200:
            detail = f"fence call answered status {status}"
            raise RouterError(ResultCode.OUTCOME_UNKNOWN, detail)
        # A wrong "not seen" would permit a second attempt.
        seen = document.get("seen") if isinstance(document, dict) else None
        if not isinstance(seen, bool):
            raise RouterError(ResultCode.OUTCOME_UNKNOWN, "malformed fence response")
        return seen
