"""Turns complete responses of the relay into those of the web server."""

from http import HTTPStatus

from aiohttp import web
from multidict import CIMultiDict

from .caller_response import CallerResponse

__all__ = ["http_response"]


def http_response(caller_response: CallerResponse) -> web.Response:
    """Return a response with a body of known length."""
    return web.Response(
        status=caller_response.status,
        reason=_reason_phrase(caller_response.status),
        headers=CIMultiDict(caller_response.headers),
        body=caller_response.body,
    )


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
