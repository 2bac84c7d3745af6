"""Tells whether an aiohttp server has read a part of a request's head."""

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

__all__ = ["ends_within_head"]

EMPTY_LINE = b"\r\n\r\n"


def ends_within_head(handler: web.RequestHandler) -> bool:
    """Tell whether part of a head was received behind the last request.

    The parser of the handler does not tell, but an empty line shows it:
    between requests the parser skips it, within a head it ends the head or is
    an error. All requests that were read must have been answered, and if the
    result is true, no further bytes may be parsed.
    """
    if handler._upgraded:
        return bool(handler._message_tail.strip(EMPTY_LINE))
    if handler._parser is None:
        return False
    try:
        messages, _, _ = handler._parser.feed_data(EMPTY_LINE)
    except HttpProcessingError:
        return True
    return bool(messages)
