"""The interface of the platform's object store and its HTTP client."""

import asyncio
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

import aiohttp

from .http_client import MAX_RESPONSE_BYTES, TRANSPORT_ERRORS, read_response_body
from .proved_exchange import exchange
from .result_codes import ResultCode, RouterError

__all__ = ["HttpObjectClient", "ObjectClient", "StoredObject"]


@dataclass(frozen=True)
class StoredObject:
    """The content of an object and its entity tag."""

    content: bytes
    etag: str


class ObjectClient(Protocol):
    """Operations of the object store that the router uses."""

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None."""

    async def put(self, name: str, content: bytes, if_match: str | None) -> bool:
        """Write an object if its entity tag still matches.

        ``if_match`` None requires that the object is absent. Return False
        if the condition fails.
        """


class HttpObjectClient:
    """Client of the object store over HTTP with conditional requests."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None."""
        status, content, etag = await self._request("GET", name, None, {})
        if status == 404:
            return None
        if status != 200:
            raise _unavailable(f"status {status}")
        return StoredObject(content, etag)

    async def put(self, name: str, content: bytes, if_match: str | None) -> bool:
        """Write an object if its entity tag still matches."""
        condition = (
            {"If-None-Match": "*"} if if_match is None else {"If-Match": if_match}
        )
        status, _, _ = await self._request("PUT", name, content, condition)
        if status == 412:
            return False
        if status not in (200, 201, 204):
            raise _unavailable(f"status {status}")
        return True

    async def _request(
        self, method: str, name: str, content: bytes | None, headers: dict[str, str]
    ) -> tuple[int, bytes, str]:
        url = f"{self._base_url}/objects/{quote(name, safe='')}"
        try:
            async with asyncio.timeout(self._timeout_s):
                async with exchange(
                    self._session, method, url, data=content, headers=headers
                ) as response:
                    body = await read_response_body(response, MAX_RESPONSE_BYTES)
                    return response.status, body, response.headers.get("ETag", "")
        except TRANSPORT_ERRORS as error:
            raise _unavailable(type(error).__name__) from error


def _unavailable(detail: str) -> RouterError:
    return RouterError(ResultCode.STORE_UNAVAILABLE, f"object store: {detail}")
