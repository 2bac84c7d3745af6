"""Marks that are equal for all attempts of a caller at the same request.

Load pattern: a request that crashes servers comes again with another id and
deadline, at any host and from any address. What stays equal is the caller,
the method, the target and the whole body.

A mark is a keyed digest, so messages and logs tell nothing about the request.
All hosts have the same key. A mark takes time in proportion to the body, so it
is computed only when a server has crashed, and once for each request.
"""

import hashlib
import secrets

from .caller_request import CallerRequest
from .routes import RouteKind

__all__ = ["PLAIN_MARK", "RequestMarks", "is_plain_mark"]

DIGEST_BYTES = 12
KEY_BYTES = 32
LENGTH_BYTES = 8
PLAIN_MARK = "plain:"
MODEL_MARK = "model:"


class RequestMarks:
    """Computes the marks of requests with the key of the hosts.

    Until that is known the key is random.
    """

    def __init__(self) -> None:
        self._key = secrets.token_bytes(KEY_BYTES)

    def use_key(self, key: bytes) -> None:
        """Compute marks with another key from now on."""
        self._key = key[: hashlib.blake2b.MAX_KEY_SIZE]

    def mark(self, request: CallerRequest) -> str:
        """Return the mark of a request."""
        mark = request.marks_by_key.get(self._key)
        if mark is None:
            mark = request.marks_by_key[self._key] = self._compute(request)
        return mark

    def _compute(self, request: CallerRequest) -> str:
        digest = hashlib.blake2b(key=self._key, digest_size=DIGEST_BYTES)
        # The digests of requests without an account stay the same.
        account = () if request.account is None else (request.account.name.encode(),)
        for value in (
            request.metadata.host.encode("utf-8", "surrogateescape"),
            request.metadata.credentials,
            *account,
            request.method.encode("utf-8", "surrogateescape"),
            request.target.encode("utf-8", "surrogateescape"),
            request.body,
        ):
            digest.update(len(value).to_bytes(LENGTH_BYTES, "big"))
            digest.update(value)
        is_model = request.route.kind is RouteKind.STREAM
        return f"{MODEL_MARK if is_model else PLAIN_MARK}{digest.hexdigest()}"


def is_plain_mark(part: str) -> bool:
    """Return whether a suspect is a request to backend servers."""
    return part.startswith(PLAIN_MARK)
