"""HTTP exchanges whose response is shown to belong to their request.

A faulty server may write an earlier response again, as a whole or cut, when
the next request has been sent on the connection. Neither the request id nor
the content tells such a copy from the response: one request may go twice over
a connection, and many calls bear no id. Therefore each exchange has an id of
its own, ``X-Kumquat-Call-Id``, which servers return. A response is believed if
it bears exactly this id, or if it is the first one on its connection, where no
earlier response exists. A server that returns no id costs a new connection
for each call.

A copy that was cut within its head and the response after it can form one
head, so a head that contains a second status line is not believed either. Nor
is a status that no final response has.
"""

import itertools
import re
import secrets
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from contextvars import ContextVar
from typing import Any
from weakref import WeakSet

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["CALL_ID_HEADER", "UnprovedResponseError", "exchange", "record_connection"]

CALL_ID_HEADER = "X-Kumquat-Call-Id"
# A header such as "Via: HTTP/1.1 proxy" has no status after the version.
STATUS_LINE = re.compile(r"HTTP/1\.[01] [0-9]{3}(?: |$)")

# Statuses of final responses. 101 ends an exchange too; nobody asks for it.
FIRST_STATUS = 200
LAST_STATUS = 599

# The number alone is unique among the calls of this process, which shares its
# connections with none. The prefix tells processes behind one proxy apart.
_process_prefix = secrets.token_urlsafe(3)
_numbers = itertools.count(1)


class UnprovedResponseError(ConnectionError):
    """Raised for a response that may belong to another request.

    Also for one that is no final response by its status. The request may have
    run.
    """


class _Exchange:
    """One exchange: its id, and the connection that carries it."""

    __slots__ = (
        "_request",
        "_response",
        "call_id",
        "on_doubt",
        "on_used_connection",
        "protocol",
    )

    def __init__(
        self, session: aiohttp.ClientSession, method: str, url: str, **arguments: Any
    ) -> None:
        self.call_id = f"{_process_prefix}{next(_numbers):x}"
        self.on_used_connection = False
        self.protocol: ResponseHandler | None = None
        self.on_doubt: Callable[[], None] | None = None
        headers = {**arguments.pop("headers", {}), CALL_ID_HEADER: self.call_id}
        self._request = session.request(
            method, url, headers=headers, allow_redirects=False, **arguments
        )

    async def __aenter__(self) -> aiohttp.ClientResponse:
        token = _current_exchange.set(self)
        try:
            response = self._response = await self._request
        finally:
            _current_exchange.reset(token)
            # A connection keeps the context in which it was opened, and so
            # this object, until it is closed: 7 KB each with the response.
            protocol, self.protocol = self.protocol, None
            on_doubt, self.on_doubt = self.on_doubt, None
            del self._request
        ids = response.headers.getall(CALL_ID_HEADER, [])
        reason = _doubt(response, ids, self)
        is_final = FIRST_STATUS <= response.status <= LAST_STATUS
        if protocol is not None and (reason or not ids or not is_final):
            # Without an id, a copy could not be told from the next response.
            # aiohttp may have returned the connection to its pool already.
            protocol.force_close()
        if reason:
            if on_doubt is not None:
                on_doubt()
        elif not is_final:
            reason = f"invalid status {response.status}"
        if reason:
            del self._response
            response.close()
            raise UnprovedResponseError(reason)
        return response

    async def __aexit__(self, *_: object) -> None:
        response = self._response
        del self._response
        response.release()
        await response.wait_for_close()


_current_exchange: ContextVar[_Exchange | None] = ContextVar(
    "current_exchange", default=None
)
_used_connections: WeakSet[ResponseHandler] = WeakSet()


def record_connection(
    protocol: ResponseHandler, on_doubt: Callable[[], None] | None = None
) -> None:
    """Record the connection of the current exchange.

    Called by the connector, also when aiohttp repeats a request because a
    used connection was closed. ``on_doubt`` is called when the response may
    belong to another request.
    """
    current = _current_exchange.get()
    if current is not None:
        current.protocol = protocol
        current.on_doubt = on_doubt
        current.on_used_connection = protocol in _used_connections
    _used_connections.add(protocol)


def exchange(
    session: aiohttp.ClientSession, method: str, url: str, **arguments: Any
) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
    """Send a request; the context begins with the head of its response.

    Raises ``UnprovedResponseError`` and closes the connection when the
    response may belong to an earlier request.
    """
    return _Exchange(session, method, url, **arguments)


def _doubt(
    response: aiohttp.ClientResponse, ids: list[str], exchange: _Exchange
) -> str:
    """Return why a response is not believed, or an empty string."""
    for value in (response.reason or "", *response.headers.values()):
        if "HTTP/1." in value and STATUS_LINE.search(value):
            return "two heads in one"
    if ids and ids != [exchange.call_id]:
        return "response of another call"
    if not ids and exchange.on_used_connection:
        return "response without the id of the call on a used connection"
    return ""
